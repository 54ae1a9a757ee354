package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"github.com/daisygap/daisygap"
)

// Faults are switched on and off while the stand-in runs.
type Faults struct {
	// Down makes every call fail without an answer.
	Down bool `json:"down"`
	// Slow delays every answer.
	Slow daisygap.Millis `json:"slow"`
	// LoseAnswers drops the answers of that many writes that took effect.
	LoseAnswers int `json:"lose"`
	// StaleLists answers lists and watches as if nothing had changed since the fault began.
	StaleLists bool `json:"stale"`
}

// Server offers a Memory over HTTP and JSON, within the platform's rates.
type Server struct {
	Memory *Memory
	// Reads and Writes limit the calls; nil doesn't limit.
	Reads  *rate.Limiter
	Writes *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	stale    uint64
	cutPeers map[string]bool
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleLists && !s.faults.StaleLists {
		s.stale = s.Memory.revisionNow()
	}
	s.faults = f
}

// Cut makes calls from one entry host fail, as a network partition does.
func (s *Server) Cut(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutPeers == nil {
		s.cutPeers = make(map[string]bool)
	}
	s.cutPeers[host] = cut
}

func (m *Memory) revisionNow() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

type swapRequest struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  string `json:"lease"`
}

type leaseRequest struct {
	Lease  string          `json:"lease"`
	Length daisygap.Millis `json:"length"`
}

// Handler returns the HTTP face of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/get", s.read(s.get))
	mux.HandleFunc("GET /v1/list", s.read(s.list))
	mux.HandleFunc("GET /v1/watch", s.read(s.watch))
	mux.HandleFunc("POST /v1/swap", s.write(s.swap))
	mux.HandleFunc("POST /v1/grant", s.write(s.grant))
	mux.HandleFunc("POST /v1/renew", s.write(s.renew))
	mux.HandleFunc("POST /v1/revoke", s.write(s.revoke))
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	return mux
}

type answer func(w http.ResponseWriter, r *http.Request) (any, error)

func (s *Server) read(do answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, r, s.Reads) {
			return
		}
		result, err := do(w, r)
		reply(w, result, err)
	}
}

func (s *Server) write(do answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, r, s.Writes) {
			return
		}
		result, err := do(w, r)
		if s.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		reply(w, result, err)
	}
}

// enter applies the faults and the rate limit, aborts the connection of a call that must not be answered, and reports whether the call goes on.
func (s *Server) enter(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	s.mu.Lock()
	f := s.faults
	cut := s.cutPeers[r.Header.Get(daisygap.HeaderHost)]
	s.mu.Unlock()
	if f.Down || cut {
		panic(http.ErrAbortHandler)
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

func (s *Server) sleep(ctx context.Context, span daisygap.Millis) {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	<-ctx.Done()
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
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
	return s.Memory.Get(r.Context(), r.URL.Query().Get("key"))
}

func (s *Server) list(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	b, err := s.Memory.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	return s.asOfFault(b), err
}

func (s *Server) watch(_ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
	b, err := s.Memory.Watch(r.Context(), q.Get("prefix"), after, daisygap.Millis(wait))
	return s.asOfFault(b), err
}

// asOfFault hides the entries that changed after a stale-reads fault began.
func (s *Server) asOfFault(b daisygap.Batch) daisygap.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.StaleLists {
		return b
	}
	var old []daisygap.Entry
	for _, e := range b.Entries {
		if e.Revision <= s.stale {
			old = append(old, e)
		}
	}
	return daisygap.Batch{Entries: old, Revision: min(b.Revision, s.stale)}
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) (any, error) {
	var q swapRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&q); err != nil {
		return nil, err
	}
	return s.Memory.Swap(r.Context(), q.Key, q.Value, q.Expect, q.Lease)
}

func (s *Server) grant(_ http.ResponseWriter, r *http.Request) (any, error) {
	var q leaseRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, err
	}
	name, err := s.Memory.Grant(r.Context(), q.Length)
	return leaseRequest{Lease: name, Length: q.Length}, err
}

func (s *Server) renew(_ http.ResponseWriter, r *http.Request) (any, error) {
	var q leaseRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, err
	}
	return q, s.Memory.Renew(r.Context(), q.Lease)
}

func (s *Server) revoke(_ http.ResponseWriter, r *http.Request) (any, error) {
	var q leaseRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, err
	}
	return q, s.Memory.Revoke(r.Context(), q.Lease)
}

func reply(w http.ResponseWriter, result any, err error) {
	switch {
	case errors.Is(err, daisygap.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, daisygap.ErrLapsed):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(result)
}
