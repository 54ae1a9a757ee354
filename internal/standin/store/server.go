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

// Faults are switched on and off while the stand-in runs.
type Faults struct {
	// Down makes every call fail without an answer.
	Down bool `json:"down"`
	// Slow delays every answer.
	Slow daisygap.Millis `json:"slow"`
	// Silent leaves every call without an answer for good, also those that wait when it begins.
	Silent bool `json:"silent"`
	// DropResponses drops the answers of that many writes that took effect.
	DropResponses int `json:"lose"`
	// StaleLists answers lists and watches as if nothing had changed since the fault began.
	StaleLists bool `json:"stale"`
}

// Server offers a Memory over HTTP and JSON, within the platform's rates.
type Server struct {
	Memory *Memory
	// Reads and Writes limit the calls; nil doesn't limit.
	Reads  *rate.Limiter
	Writes *rate.Limiter

	mu            sync.Mutex
	faults        Faults
	staleRevision uint64
	silences      int
	partitioned   map[string]bool
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

// silenceCount counts the times at which the store fell silent.
func (s *Server) silenceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// Partition makes calls from one entry host fail, as a network partition does.
func (s *Server) Partition(host string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitioned == nil {
		s.partitioned = make(map[string]bool)
	}
	s.partitioned[host] = partitioned
}

func (m *Memory) currentRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Handler returns the HTTP face of the store, as the platform speaks it.
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

type operation func(w http.ResponseWriter, r *http.Request) (any, error)

func (s *Server) readHandler(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, s.Reads) {
			return
		}
		before := s.silenceCount()
		result, err := op(w, r)
		if s.silenceCount() != before {
			<-r.Context().Done()
			return
		}
		writeResponse(w, result, err)
	}
}

func (s *Server) writeHandler(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, s.Writes) {
			return
		}
		result, err := op(w, r)
		if s.takeDroppedResponse() {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, result, err)
	}
}

// admit applies the faults and the rate limit, aborts the connection of a call that must not be answered, and reports whether the call goes on.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	s.mu.Lock()
	f := s.faults
	partitioned := s.partitioned[r.Header.Get(daisygap.HeaderHost)]
	s.mu.Unlock()
	if f.Down || partitioned {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		// The end of a connection is only noticed once the body has been read.
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

func (s *Server) sleep(ctx context.Context, delay daisygap.Millis) {
	ctx, cancel := context.WithTimeout(ctx, delay.Duration())
	defer cancel()
	<-ctx.Done()
}

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
	return page{Items: wireEntriesOf(b.Entries), More: b.More, AsOf: b.Revision}, err
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
	b, err := s.Memory.Watch(r.Context(), q.Get("prefix"), after, daisygap.Millis(wait))
	b = s.limitToStaleRevision(b)
	return page{Events: wireEntriesOf(b.Entries), AsOf: b.Revision}, err
}

// limitToStaleRevision hides the entries that changed after a stale-reads fault began.
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

// commit takes transactions of one key, which is all that daisygap sends.
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
	e, err := s.Memory.Swap(r.Context(), t.Expect[0].Key, value, t.Expect[0].Revision, lease)
	return revisionResponse{Revision: e.Revision}, err
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
