package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/daisygap/daisygap"
)

var errKeyNotFound = errors.New("no such key")

// wireEntry is the JSON form of an entry or a change.
type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type page struct {
	Items  []wireEntry `json:"items,omitempty"`
	Events []wireEntry `json:"events,omitempty"`
	More   bool        `json:"more_pages"`
	AsOf   uint64      `json:"as_of"`
}

type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

// leaseMessage is the request and the response of a grant.
type leaseMessage struct {
	Lease uint64 `json:"lease"`
	TTL   string `json:"ttl_time"`
}

func wireEntryOf(e daisygap.StoreEntry) wireEntry {
	entry := wireEntry{Key: e.Key, Value: e.Value, Revision: e.Revision.InEra(), Deleted: e.Deleted}
	// The name of a lease is its decimal number. A key without a lease has lease 0 on the wire.
	entry.Lease, _ = strconv.ParseUint(e.Lease, 10, 64)
	return entry
}

func wireEntriesOf(entries []daisygap.StoreEntry) []wireEntry {
	var converted []wireEntry
	for _, e := range entries {
		converted = append(converted, wireEntryOf(e))
	}
	return converted
}

func writeResponse(w http.ResponseWriter, result any, err error) {
	switch {
	case errors.Is(err, daisygap.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, daisygap.ErrLeaseExpired), errors.Is(err, errKeyNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, daisygap.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		_ = json.NewEncoder(w).Encode(result)
	}
}
