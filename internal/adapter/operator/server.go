package operator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// Server is the operator face; set the fields before Handler.
type Server struct {
	Operations daisygap.Operations
	// Token is the bearer token that writes need.
	Token string
	Pprof bool
}

// The codes of errors on the wire.
const (
	codeStale   = "stale"
	codeField   = "field"
	codeNoStore = "no_store"
	codeUnknown = "outcome_unknown"
	codeToken   = "token"
	codeOther   = "error"
)

type wireError struct {
	Code  string               `json:"code"`
	Text  string               `json:"text"`
	Stale *daisygap.StaleError `json:"stale,omitempty"`
	Field *daisygap.FieldError `json:"field,omitempty"`
}

type patchRequest struct {
	Base   uint64          `json:"base"`
	ID     string          `json:"id"`
	Author string          `json:"author"`
	Merge  json.RawMessage `json:"merge"`
}

type patchAnswer struct {
	Version uint64 `json:"version"`
}

type configAnswer struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

type historyAnswer struct {
	Patches []daisygap.Patch `json:"patches"`
	Far     bool             `json:"far"`
}

type membersAnswer struct {
	List    []daisygap.MemberStatus `json:"list"`
	Missing []string                `json:"missing"`
}

type totalsAnswer struct {
	Totals  []daisygap.RefusalTotal `json:"totals"`
	Missing []string                `json:"missing"`
}

// Handler returns the HTTP face.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("GET /v1/history", s.history)
	mux.HandleFunc("POST /v1/patch", s.authorised(s.patch))
	mux.HandleFunc("GET /v1/members", s.members)
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("GET /v1/refusals", s.refusals)
	mux.HandleFunc("GET /v1/lookup", s.lookup)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	if s.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// authorised lets only requests with the bearer token through, compared in constant time.
func (s *Server) authorised(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.Token == "" || subtle.ConstantTimeCompare([]byte(given), []byte(s.Token)) != 1 {
			fail(w, http.StatusUnauthorized, wireError{Code: codeToken, Text: "a write needs the token from the daemon's settings; give it with --token"})
			return
		}
		next(w, r)
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Operations.Status())
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Operations.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	reply(w, s.Operations.Ready())
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	version, document, err := s.Operations.Document()
	if err != nil {
		failWith(w, err)
		return
	}
	reply(w, configAnswer{Version: version, Document: document})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		failWith(w, &daisygap.FieldError{Field: "since", Want: "a version number", Got: r.URL.Query().Get("since")})
		return
	}
	patches, far, err := s.Operations.History(r.Context(), since)
	if err != nil {
		failWith(w, err)
		return
	}
	reply(w, historyAnswer{Patches: patches, Far: far})
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	var q patchRequest
	body := http.MaxBytesReader(w, r.Body, configuration.MaxPatchBytes+4096)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = &daisygap.FieldError{Field: "patch", Want: "at most " + strconv.Itoa(configuration.MaxPatchBytes) + " bytes; split it"}
		}
		failWith(w, err)
		return
	}
	if q.ID == "" || len(q.ID) > 64 {
		failWith(w, &daisygap.FieldError{Field: "id", Want: "a patch ID of 1 to 64 characters", Got: q.ID})
		return
	}
	version, err := s.Operations.Commit(r.Context(), q.Base, daisygap.Patch{ID: q.ID, Author: q.Author, Merge: q.Merge})
	if err != nil {
		failWith(w, err)
		return
	}
	reply(w, patchAnswer{Version: version})
}

func (s *Server) members(w http.ResponseWriter, r *http.Request) {
	list, missing := s.Operations.Members(r.Context())
	reply(w, membersAnswer{List: list, Missing: missing})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	refusal, err := s.Operations.Explain(r.URL.Query().Get("receipt"))
	if err != nil {
		failWith(w, err)
		return
	}
	reply(w, refusal)
}

func (s *Server) refusals(w http.ResponseWriter, r *http.Request) {
	totals, missing := s.Operations.RefusalTotals(r.Context())
	reply(w, totalsAnswer{Totals: totals, Missing: missing})
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer, err := s.Operations.Lookup(q.Get("caller"), q.Get("kind"))
	if err != nil {
		failWith(w, err)
		return
	}
	reply(w, answer)
}

func failWith(w http.ResponseWriter, err error) {
	var stale *daisygap.StaleError
	var field *daisygap.FieldError
	switch {
	case errors.As(err, &stale):
		fail(w, http.StatusConflict, wireError{Code: codeStale, Text: err.Error(), Stale: stale})
	case errors.As(err, &field):
		fail(w, http.StatusBadRequest, wireError{Code: codeField, Text: field.Error(), Field: field})
	case errors.Is(err, daisygap.ErrStoreUnreachable):
		fail(w, http.StatusServiceUnavailable, wireError{Code: codeNoStore, Text: daisygap.ErrStoreUnreachable.Error()})
	case errors.Is(err, daisygap.ErrOutcomeUnknown):
		fail(w, http.StatusGatewayTimeout, wireError{Code: codeUnknown, Text: daisygap.ErrOutcomeUnknown.Error()})
	default:
		fail(w, http.StatusBadRequest, wireError{Code: codeOther, Text: err.Error()})
	}
}

func fail(w http.ResponseWriter, status int, e wireError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
