package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/daisygap/daisygap"
)

// ErrGraceExceeded is returned by Terminate when a process outlived its grace period and was killed.
var ErrGraceExceeded = errors.New("the process was still there at the end of its grace period")

// Daemon is one entry host; set the fields before Start.
type Daemon struct {
	// Binary is the program, and Folder holds its settings and its log.
	Binary   string
	Folder   string
	Settings daisygap.Settings

	mu          sync.Mutex
	incarnation int
	cmd         *exec.Cmd
	exited      chan struct{}
}

// Start writes the settings and starts a process; one that runs already is left alone.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	data, err := json.MarshalIndent(d.Settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.Folder, d.Settings.Host+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.Folder, d.Settings.Host+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.Binary, "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	// The process has the file open by itself.
	_ = log.Close()
	if err != nil {
		return daisygap.WrapError("start", d.Settings.Host, err)
	}
	d.incarnation++
	d.cmd, d.exited = cmd, make(chan struct{})
	go d.wait(cmd, d.exited)
	return nil
}

func (d *Daemon) wait(cmd *exec.Cmd, exited chan struct{}) {
	// Its exit code is read from the state.
	_ = cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = nil
	close(exited)
}

// Incarnation counts the starts so far.
func (d *Daemon) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// Signal sends a signal to the process, if there is one.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	// A process that has just ended is as good as signalled.
	_ = d.cmd.Process.Signal(s)
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	exited := d.exitSignal()
	d.Signal(syscall.SIGKILL)
	<-exited
}

// Terminate sends SIGTERM and waits for the end; after the grace period it kills and returns ErrLate.
func (d *Daemon) Terminate(grace time.Duration) error {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return nil
	}
	exited := d.exitSignal()
	d.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		d.Kill()
		return daisygap.WrapError("stop", d.Settings.Host, ErrGraceExceeded)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return daisygap.WrapError("stop", d.Settings.Host, fmt.Errorf("exit code %d", code))
	}
	return nil
}

// exitSignal returns a channel that is closed when the process has ended.
func (d *Daemon) exitSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return d.exited
}
