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

// Server serves the operator API. Its fields must be set before the call of Handler.
type Server struct {
	Operations daisygap.Operations
	// Token is the bearer token that writes require. Without a token, every write is rejected.
	Token string
	// Pprof enables the profiling endpoints.
	Pprof bool
}

// The codes of error responses.
const (
	codeStale          = "stale"
	codeField          = "field"
	codeNoStore        = "no_store"
	codeOutcomeUnknown = "outcome_unknown"
	codeToken          = "token"
	codeOther          = "error"
)

type errorResponse struct {
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

type patchResponse struct {
	Version uint64 `json:"version"`
}

type configResponse struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

type historyResponse struct {
	Patches   []daisygap.Patch `json:"patches"`
	Truncated bool             `json:"far"`
}

type membersResponse struct {
	Members []daisygap.MemberStatus `json:"list"`
	Missing []string                `json:"missing"`
}

type totalsResponse struct {
	Totals  []daisygap.RefusalTotal `json:"totals"`
	Missing []string                `json:"missing"`
}

// Handler returns the HTTP handler of the API, including readiness and metrics.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("GET /v1/history", s.history)
	mux.HandleFunc("POST /v1/patch", s.requireToken(s.patch))
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

// requireToken rejects requests without the bearer token, which is compared in constant time.
func (s *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			writeErrorStatus(w, http.StatusUnauthorized, errorResponse{Code: codeToken, Text: "a write requires the token from the daemon's settings; give it with --token"})
			return
		}
		next(w, r)
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Operations.Status())
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Operations.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, s.Operations.Ready())
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	version, document, err := s.Operations.Document()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, configResponse{Version: version, Document: document})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeError(w, &daisygap.FieldError{Field: "since", Want: "a version number", Got: r.URL.Query().Get("since")})
		return
	}
	patches, truncated, err := s.Operations.History(r.Context(), since)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, historyResponse{Patches: patches, Truncated: truncated})
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	var request patchRequest
	body := http.MaxBytesReader(w, r.Body, configuration.MaxPatchBytes+4096)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = &daisygap.FieldError{Field: "patch", Want: "at most " + strconv.Itoa(configuration.MaxPatchBytes) + " bytes; split it"}
		}
		writeError(w, err)
		return
	}
	if request.ID == "" || len(request.ID) > 64 {
		writeError(w, &daisygap.FieldError{Field: "id", Want: "a patch ID of 1 to 64 characters", Got: request.ID})
		return
	}
	version, err := s.Operations.Commit(r.Context(), request.Base, daisygap.Patch{ID: request.ID, Author: request.Author, Merge: request.Merge})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, patchResponse{Version: version})
}

func (s *Server) members(w http.ResponseWriter, r *http.Request) {
	list, missing := s.Operations.Members(r.Context())
	writeJSON(w, membersResponse{Members: list, Missing: missing})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	refusal, err := s.Operations.Explain(r.URL.Query().Get("receipt"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, refusal)
}

func (s *Server) refusals(w http.ResponseWriter, r *http.Request) {
	totals, missing := s.Operations.RefusalTotals(r.Context())
	writeJSON(w, totalsResponse{Totals: totals, Missing: missing})
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	response, err := s.Operations.Lookup(q.Get("caller"), q.Get("kind"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, response)
}

// writeError responds with the status and the code of an error.
func writeError(w http.ResponseWriter, err error) {
	var stale *daisygap.StaleError
	var field *daisygap.FieldError
	switch {
	case errors.As(err, &stale):
		writeErrorStatus(w, http.StatusConflict, errorResponse{Code: codeStale, Text: err.Error(), Stale: stale})
	case errors.As(err, &field):
		writeErrorStatus(w, http.StatusBadRequest, errorResponse{Code: codeField, Text: field.Error(), Field: field})
	case errors.Is(err, daisygap.ErrStoreUnreachable):
		writeErrorStatus(w, http.StatusServiceUnavailable, errorResponse{Code: codeNoStore, Text: daisygap.ErrStoreUnreachable.Error()})
	case errors.Is(err, daisygap.ErrOutcomeUnknown):
		writeErrorStatus(w, http.StatusGatewayTimeout, errorResponse{Code: codeOutcomeUnknown, Text: daisygap.ErrOutcomeUnknown.Error()})
	default:
		writeErrorStatus(w, http.StatusBadRequest, errorResponse{Code: codeOther, Text: err.Error()})
	}
}

func writeErrorStatus(w http.ResponseWriter, status int, e errorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
