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

// ErrGraceExceeded is returned by Terminate when a process didn't exit within the grace period and was killed.
var ErrGraceExceeded = errors.New("process did not exit within its grace period")

// Daemon is one daemon, which can be stopped and started repeatedly. Set the fields before Start.
type Daemon struct {
	// Binary is the path of the program. Folder is where its settings and log are written, named after the host.
	Binary   string
	Folder   string
	Settings daisygap.Settings
	// OnCrash, if set, is called when the process ends without Kill or Terminate.
	OnCrash func(*os.ProcessState)

	mu          sync.Mutex
	incarnation int
	cmd         *exec.Cmd
	exited      chan struct{}
	// stopping reports whether Kill or Terminate ends the current process.
	stopping bool
}

// Start writes the settings and starts the process. It does nothing when the process is running.
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
	log, err := os.OpenFile(d.logFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.Binary, "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	// The child process has its own descriptor of the file.
	_ = log.Close()
	if err != nil {
		return daisygap.WrapError("start", d.Settings.Host, err)
	}
	d.incarnation++
	d.cmd, d.exited, d.stopping = cmd, make(chan struct{}), false
	go d.wait(cmd, d.exited)
	return nil
}

func (d *Daemon) wait(cmd *exec.Cmd, exited chan struct{}) {
	// Terminate reads the exit code from cmd.ProcessState.
	_ = cmd.Wait()
	d.mu.Lock()
	crashed := !d.stopping
	d.cmd = nil
	close(exited)
	d.mu.Unlock()
	if crashed && d.OnCrash != nil {
		d.OnCrash(cmd.ProcessState)
	}
}

// Log returns the log of all its processes so far.
func (d *Daemon) Log() ([]byte, error) {
	return os.ReadFile(d.logFile())
}

func (d *Daemon) logFile() string {
	return filepath.Join(d.Folder, d.Settings.Host+".log")
}

// Incarnation returns the number of starts so far.
func (d *Daemon) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// Signal sends a signal to the process. It does nothing when no process is running.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	// Signal fails when the process has just exited, which needs no handling.
	_ = d.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the exit of the process.
func (d *Daemon) Kill() {
	exited := d.beginStop()
	d.Signal(syscall.SIGKILL)
	<-exited
}

// Terminate sends SIGTERM and waits for the exit of the process. After the grace period it kills the process and
// returns ErrGraceExceeded. An exit code other than 0 is an error.
func (d *Daemon) Terminate(grace time.Duration) error {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return nil
	}
	exited := d.beginStop()
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

// beginStop marks the end of the process as intended, and returns a channel that is closed when it has exited.
func (d *Daemon) beginStop() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	d.stopping = true
	return d.exited
}
