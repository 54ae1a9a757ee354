package serve

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/daisygap/daisygap/internal/command/term"
)

// TestReloadSignalDuringStart guards against a process that a SIGHUP ends while it still reads its settings. They come from a pipe that
// is written only after the signal.
func TestReloadSignalDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.json")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	c := &Command{Output: term.Output{Out: io.Discard, Err: io.Discard}, settingsFile: file}
	status := make(chan subcommands.ExitStatus)
	go func() { status <- c.Execute(context.Background(), nil) }()
	time.Sleep(100 * time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := os.WriteFile(file, []byte("no settings"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := <-status; got == subcommands.ExitSuccess {
		t.Error("invalid settings were accepted")
	}
}
