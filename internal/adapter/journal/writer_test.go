package journal

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks all writes until it is released, like a pipe without a reader.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// TestBlockedOutputDoesNotBlockWriters guards against a daemon that stops serving because nobody reads its log.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := &Writer{Out: out}
	w.Run()
	started := time.Now()
	for i := range 5 * maxQueuedLines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("%d lines took %v", 5*maxQueuedLines, took)
	}
	close(out.release)
	w.Close()
	if _, err := w.Write([]byte("after the end\n")); err != nil {
		t.Error(err)
	}
	text := out.buffer.String()
	if !strings.Contains(text, `"lines dropped"`) {
		t.Error("number of dropped lines not logged")
	}
	if n := strings.Count(text, "line "); n < maxQueuedLines || n > maxQueuedLines+2 {
		t.Errorf("%d lines written, want %d to %d", n, maxQueuedLines, maxQueuedLines+2)
	}
}

func TestLinesKeepOrder(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	w.Run()
	var want strings.Builder
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.String() != want.String() {
		t.Error("lines lost or out of order")
	}
}
