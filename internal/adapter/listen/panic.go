package listen

import (
	"fmt"
	"net/http"
	"runtime"

	"github.com/VictoriaMetrics/metrics"
)

// maxStack is the size of the stack in bytes that is reported with a panic.
const maxStack = 4 << 10

var panics = metrics.NewCounter(`daisygap_handler_panics_total`)

// RecoverPanics returns a handler that counts and reports the panics of h. The connection is closed then, so that a response that was begun
// never looks complete. http.ErrAbortHandler is a regular end.
func RecoverPanics(h http.Handler, report func(r *http.Request, cause, stack string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				panics.Inc()
				stack := make([]byte, maxStack)
				report(r, fmt.Sprint(cause), string(stack[:runtime.Stack(stack, false)]))
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
