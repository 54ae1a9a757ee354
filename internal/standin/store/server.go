package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisygap/daisygap"
)

// Faults are the faults of the store, which can change while it runs.
type Faults struct {
	// Down closes the connection of every call without a response.
	Down bool `json:"down"`
	// Slow delays every call by this many milliseconds.
	Slow daisygap.Millis `json:"slow"`
	// Silent leaves every call without a response until the client closes it, including reads and watches that are
	// pending when the fault starts.
	Silent bool `json:"silent"`
	// DropResponses is the number of writes that are executed but whose responses are dropped.
	DropResponses int `json:"lose"`
	// StaleLists hides from lists and watches every entry that changed after the fault started.
	StaleLists bool `json:"stale"`
}

// Server serves a Memory over HTTP and JSON, within the rate limits of the platform.
type Server struct {
	Memory *Memory
	// Reads and Writes are the rate limits of the calls. Nil means no limit.
	Reads  *rate.Limiter
	Writes *rate.Limiter

	mu     sync.Mutex
	faults Faults
	// staleRevision is the revision at which the latest StaleLists fault started.
	staleRevision daisygap.StoreRevision
	// silences is the number of Silent faults so far.
	silences int
	// partitioned is true for each host that can't reach the store.
	partitioned map[string]bool
	// watching is the number of each host's watches that are waiting now.
	watching map[string]int
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleLists && !s.faults.StaleLists {
		s.staleRevision = s.Memory.currentRevision()
	}
	if f.Silent && !s.faults.Silent {
		s.silences++
	}
	s.faults = f
}

// silenceCount returns the number of Silent faults so far. A read compares it before and after to detect a fault that
// started meanwhile.
func (s *Server) silenceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// Partition starts or ends a network partition between one entry host and the store.
func (s *Server) Partition(host string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitioned == nil {
		s.partitioned = make(map[string]bool)
	}
	s.partitioned[host] = partitioned
}

// IsWatching reports whether a watch of an entry host is waiting.
func (s *Server) IsWatching(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching[host] > 0
}

func (s *Server) countWatch(host string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching == nil {
		s.watching = make(map[string]int)
	}
	s.watching[host] += change
}

func (m *Memory) currentRevision() daisygap.StoreRevision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Handler returns the HTTP API of the store, as the platform defines it.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.readHandler(s.get))
	mux.HandleFunc("GET /kv-range", s.readHandler(s.list))
	mux.HandleFunc("GET /kv-watch", s.readHandler(s.watch))
	mux.HandleFunc("POST /kv-txn", s.writeHandler(s.commit))
	mux.HandleFunc("POST /kv-lease", s.writeHandler(s.grant))
	mux.HandleFunc("POST /kv-keep/{lease}", s.writeHandler(s.renew))
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", s.writeHandler(s.revoke))
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	return mux
}

// operation runs one call and returns the response body, which is encoded as JSON.
type operation func(w http.ResponseWriter, r *http.Request) (any, error)

func (s *Server) readHandler(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, s.Reads) {
			return
		}
		before, era := s.silenceCount(), s.Memory.currentEra()
		result, err := op(w, r)
		if s.silenceCount() != before {
			<-r.Context().Done()
			return
		}
		if s.isPartitioned(r) || s.Memory.currentEra() != era {
			panic(http.ErrAbortHandler)
		}
		setEra(w, era)
		writeResponse(w, result, err)
	}
}

func (s *Server) writeHandler(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, s.Writes) {
			return
		}
		era := s.Memory.currentEra()
		result, err := op(w, r)
		if s.takeDroppedResponse() || s.Memory.currentEra() != era {
			panic(http.ErrAbortHandler)
		}
		setEra(w, era)
		writeResponse(w, result, err)
	}
}

// setEra names the era in a response. Stores that were never restored leave it out.
func setEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
}

// admit applies the faults and the rate limit to a call, and reports whether the call may proceed. It aborts the
// connection of a call that must fail without a response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Down || s.isPartitioned(r) {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		// The server detects that the client closed the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	if f.Slow > 0 {
		s.sleep(r.Context(), f.Slow)
	}
	if limit != nil && !limit.Allow() {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// isPartitioned reports whether the host that made a call can't reach the store.
func (s *Server) isPartitioned(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned[r.Header.Get(daisygap.HeaderHost)]
}

func (s *Server) sleep(ctx context.Context, delay daisygap.Millis) {
	ctx, cancel := context.WithTimeout(ctx, delay.Duration())
	defer cancel()
	<-ctx.Done()
}

// takeDroppedResponse reports whether the response of a write must be dropped, and counts down DropResponses.
func (s *Server) takeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) get(_ http.ResponseWriter, r *http.Request) (any, error) {
	e, err := s.Memory.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && e.Revision == 0 {
		return nil, errKeyNotFound
	}
	return wireEntryOf(e), err
}

func (s *Server) list(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	b, err := s.Memory.List(r.Context(), q.Get("prefix"), q.Get("after"))
	b = s.limitToStaleRevision(b)
	return page{Items: wireEntriesOf(b.Entries), More: b.More, AsOf: b.Revision.InEra()}, err
}

func (s *Server) watch(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil {
		return nil, err
	}
	host := r.Header.Get(daisygap.HeaderHost)
	s.countWatch(host, 1)
	defer s.countWatch(host, -1)
	b, err := s.Memory.Watch(r.Context(), q.Get("prefix"), daisygap.StoreRevision(after), daisygap.Millis(wait))
	b = s.limitToStaleRevision(b)
	return page{Events: wireEntriesOf(b.Entries), AsOf: b.Revision.InEra()}, err
}

// limitToStaleRevision removes the entries that changed after the current StaleLists fault started, if there is one.
func (s *Server) limitToStaleRevision(b daisygap.StoreBatch) daisygap.StoreBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.StaleLists {
		return b
	}
	var old []daisygap.StoreEntry
	for _, e := range b.Entries {
		if e.Revision <= s.staleRevision {
			old = append(old, e)
		}
	}
	return daisygap.StoreBatch{Entries: old, Revision: min(b.Revision, s.staleRevision)}
}

// commit executes a transaction of one condition and one change. Daisygap doesn't send others.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) (any, error) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&t); err != nil {
		return nil, err
	}
	if len(t.Expect) != 1 || len(t.Puts)+len(t.Deletes) != 1 {
		return nil, errors.New("expected one condition and one change")
	}
	var value []byte
	lease := ""
	if len(t.Puts) == 1 {
		value = t.Puts[0].Value
		if t.Puts[0].Lease != 0 {
			lease = strconv.FormatUint(t.Puts[0].Lease, 10)
		}
	}
	e, err := s.Memory.Swap(r.Context(), t.Expect[0].Key, value, daisygap.StoreRevision(t.Expect[0].Revision), lease)
	return revisionResponse{Revision: e.Revision.InEra()}, err
}

func (s *Server) grant(_ http.ResponseWriter, r *http.Request) (any, error) {
	var request leaseMessage
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, err
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		return nil, err
	}
	name, err := s.Memory.Grant(r.Context(), daisygap.Millis(ttl/time.Millisecond))
	if err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(name, 10, 64)
	return leaseMessage{Lease: id, TTL: request.TTL}, err
}

func (s *Server) renew(_ http.ResponseWriter, r *http.Request) (any, error) {
	return struct{}{}, s.Memory.Renew(r.Context(), r.PathValue("lease"))
}

func (s *Server) revoke(_ http.ResponseWriter, r *http.Request) (any, error) {
	return struct{}{}, s.Memory.Revoke(r.Context(), r.PathValue("lease"))
}
