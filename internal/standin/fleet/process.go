package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is a started process, which can be signalled, killed and started again.
type Process struct {
	Name string
	// Address is the IP:port of the process's main listener.
	Address string

	program     string
	args        []string
	environment []string
	logPath     string

	// restartDelay is the time after which the process is started again when it ended on its own; 0 disables the
	// restart.
	restartDelay time.Duration

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	stopped bool
}

// StartProcess starts the program at path and appends its standard output and error to the file log.
func StartProcess(name, path string, args, env []string, log string) (*Process, error) {
	prc := &Process{
		Name:        name,
		program:     path,
		args:        args,
		environment: env,
		logPath:     log,
	}
	return prc, errors.Trace(prc.start())
}

func (prc *Process) start() error {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	prc.stopped = false
	return prc.startLocked()
}

// startLocked starts the process; the caller holds mu.
func (prc *Process) startLocked() error {
	out, err := os.OpenFile(prc.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	cmd := exec.Command(prc.program, prc.args...)
	cmd.Env = prc.environment
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the process when its parent ends, so that an aborted test leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := processStarter.start(cmd); err != nil {
		return errors.Trace(err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
		if prc.restartDelay > 0 {
			time.Sleep(prc.restartDelay)
			prc.restartCrashed(cmd)
		}
	}()
	prc.command = cmd
	prc.exited = done
	return nil
}

// restartCrashed starts the process again unless it has been stopped or started since it crashed.
func (prc *Process) restartCrashed(crashed *exec.Cmd) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if !prc.stopped && prc.command == crashed {
		_ = prc.startLocked()
	}
}

// Signal sends a signal to the process, such as SIGSTOP to pause it.
func (prc *Process) Signal(sig syscall.Signal) error {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		prc.stopped = true
	}
	return errors.Trace(prc.command.Process.Signal(sig))
}

// Kill kills the process and waits until it has ended, for at most one minute.
func (prc *Process) Kill() error {
	if err := prc.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Trace(err)
	}
	prc.ExitedWithin(time.Minute)
	return nil
}

// Terminate sends SIGTERM to the process and returns its exit status, or -1 if it does not exit within the given time or
// is ended by a signal.
func (prc *Process) Terminate(within time.Duration) int {
	_ = prc.Signal(syscall.SIGTERM)
	if !prc.ExitedWithin(within) {
		return -1
	}
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.command.ProcessState.ExitCode()
}

// ExitedWithin waits for the process to exit, for at most the given time, and reports whether it has exited.
func (prc *Process) ExitedWithin(within time.Duration) bool {
	prc.mu.Lock()
	done := prc.exited
	prc.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// Restart starts the process again. It must be called only after the process has exited.
func (prc *Process) Restart() error {
	return prc.start()
}

// waitFor sends requests to url until it responds. It returns ErrProcessExited if the process exits first, and
// another error if ctx ends first.
func (prc *Process) waitFor(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Trace(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
			return nil
		}
		if prc.ExitedWithin(20 * time.Millisecond) {
			return errors.Annotate(ErrProcessExited, prc.Name)
		}
		if ctx.Err() != nil {
			return errors.Annotatef(err, "wait until %s responds", prc.Name)
		}
	}
}
