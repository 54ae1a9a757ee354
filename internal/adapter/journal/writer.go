package journal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines is the number of lines that wait for a slow output; at 300 bytes a line they take 300 KB.
const maxQueuedLines = 1_000

var droppedLines = metrics.NewCounter(`daisygap_log_lines_dropped_total`)

// Writer queues lines for an output that may block; lines beyond the queue are dropped and counted. Set Out before Run.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
	wg      sync.WaitGroup
	mu      sync.RWMutex
	closed  bool
}

// Run starts the one goroutine that writes.
func (w *Writer) Run() {
	w.lines = make(chan []byte, maxQueuedLines)
	w.wg.Go(func() {
		for line := range w.lines {
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w.Out, `{"level":"warning","part":"log","msg":"lines dropped","lines":%d}`+"\n", n)
			}
			// There is nowhere to report that the log can't be written.
			_, _ = w.Out.Write(line)
		}
	})
}

// Write queues one line and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// Close writes what is queued; an output that blocks blocks it too.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.lines)
	w.wg.Wait()
}
