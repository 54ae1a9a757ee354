package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/daisygap/daisygap"
)

var errMissing = errors.New("no such key")

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type page struct {
	Items  []item `json:"items,omitempty"`
	Events []item `json:"events,omitempty"`
	More   bool   `json:"more_pages"`
	AsOf   uint64 `json:"as_of"`
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

type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

type leaseSpan struct {
	Lease uint64 `json:"lease"`
	TTL   string `json:"ttl_time"`
}

func itemOf(e daisygap.StoreEntry) item {
	i := item{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
	// A lease's name is its number; a key without one has the lease 0.
	i.Lease, _ = strconv.ParseUint(e.Lease, 10, 64)
	return i
}

func itemsOf(entries []daisygap.StoreEntry) []item {
	var list []item
	for _, e := range entries {
		list = append(list, itemOf(e))
	}
	return list
}

func reply(w http.ResponseWriter, result any, err error) {
	switch {
	case errors.Is(err, daisygap.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, daisygap.ErrLeaseExpired), errors.Is(err, errMissing):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, daisygap.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		_ = json.NewEncoder(w).Encode(result)
	}
}
