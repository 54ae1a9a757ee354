package listen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestPanicEndsConnection guards against a response that looks complete although its handler panicked.
func TestPanicEndsConnection(t *testing.T) {
	for name, tt := range map[string]struct {
		write   string
		cause   any
		reports int32
	}{
		"before the response":    {cause: "broken", reports: 1},
		"within the response":    {write: "half", cause: "broken", reports: 1},
		"abort without a report": {write: "half", cause: http.ErrAbortHandler},
	} {
		t.Run(name, func(t *testing.T) {
			var reports atomic.Int32
			before := panics.Get()
			h := RecoverPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, tt.write)
				panic(tt.cause)
			}), func(r *http.Request, cause, stack string) {
				if r.URL.Path != "/x" || cause != "broken" || stack == "" {
					t.Errorf("reported %q for %s with a stack of %d bytes", cause, r.URL.Path, len(stack))
				}
				reports.Add(1)
			})
			s := httptest.NewServer(h)
			defer s.Close()
			res, err := http.Get(s.URL + "/x")
			if err == nil {
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
			}
			if err == nil {
				t.Error("the response looks complete")
			}
			if reports.Load() != tt.reports || panics.Get()-before != uint64(tt.reports) {
				t.Errorf("%d reports, %d counted, want %d", reports.Load(), panics.Get()-before, tt.reports)
			}
		})
	}
}
