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

	mu    sync.Mutex
	life  int
	cmd   *exec.Cmd
	ended chan struct{}
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
	d.life++
	d.cmd, d.ended = cmd, make(chan struct{})
	go d.wait(cmd, d.ended)
	return nil
}

func (d *Daemon) wait(cmd *exec.Cmd, ended chan struct{}) {
	// Its exit code is read from the state.
	_ = cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = nil
	close(ended)
}

// Incarnation counts the starts so far.
func (d *Daemon) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
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
	ended := d.ending()
	d.Signal(syscall.SIGKILL)
	<-ended
}

// Terminate sends SIGTERM and waits for the end; after the grace period it kills and returns ErrLate.
func (d *Daemon) Terminate(grace time.Duration) error {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return nil
	}
	ended := d.ending()
	d.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		d.Kill()
		return daisygap.WrapError("stop", d.Settings.Host, ErrGraceExceeded)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return daisygap.WrapError("stop", d.Settings.Host, fmt.Errorf("exit code %d", code))
	}
	return nil
}

// ending returns a channel that is closed when the process has ended.
func (d *Daemon) ending() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	return d.ended
}
