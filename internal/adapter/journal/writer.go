package journal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines is the number of lines that are buffered for a slow output. At 300 bytes per line they take 300 KB.
const maxQueuedLines = 1_000

var droppedLines = metrics.NewCounter(`daisygap_log_lines_dropped_total`)

// Writer buffers lines for an output that may block. Lines that exceed the buffer are dropped and counted. Out must be set
// before Run, and Run called before the first Write.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
	wg      sync.WaitGroup
	mu      sync.RWMutex
	closed  bool
}

// Run starts the goroutine that writes the lines to the output.
func (w *Writer) Run() {
	w.lines = make(chan []byte, maxQueuedLines)
	w.wg.Go(func() {
		for line := range w.lines {
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w.Out, `{"level":"warning","part":"log","msg":"lines dropped","lines":%d}`+"\n", n)
			}
			// A failed write of the log can't be logged.
			_, _ = w.Out.Write(line)
		}
	})
}

// Write queues a copy of one line and never blocks. Lines written after Close are discarded without an error.
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

// Close writes the queued lines and stops the goroutine. It blocks as long as the output does.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.lines)
	w.wg.Wait()
}
