// Package process runs this repository's programs as child processes of the
// experiment tool. A child is signalled only by the PID that its start returned, and
// only until it has been waited for, so that a reused PID is never signalled.
// Children are killed when the experiment tool exits.
//
// # Usage
//
//	child, err := process.Start(process.Spec{Path: path, Args: args, Output: log})
//	defer child.Kill()
//	err = child.WaitReady(ctx, process.HTTPReady("http://127.0.0.1:23000/healthz"))
//	usage, err := child.Usage()
//	err = child.Stop(ctx)
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// readyPollInterval is the interval between two readiness probes.
const readyPollInterval = 10 * time.Millisecond

// ErrExited reports that a process has exited.
var ErrExited = errors.New("process has exited; start it again")

// Spec describes a child process.
type Spec struct {
	Path   string
	Args   []string
	Dir    string
	Output io.Writer // of standard output and standard error; nil discards both
}

// Process is a running or exited child process.
type Process struct {
	spec   Spec
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // valid after ended is closed
}

// Start starts a child process. Callers end it with Stop or Kill.
func Start(spec Spec) (*Process, error) {
	cmd := exec.Command(spec.Path, spec.Args...)
	cmd.Dir = spec.Dir
	cmd.Stdout = spec.Output
	cmd.Stderr = spec.Output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(cmd); err != nil {
		return nil, fmt.Errorf("start %s; build it first: %w", spec.Path, err)
	}
	p := &Process{spec: spec, cmd: cmd, exited: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// WaitReady repeats the probe until it succeeds. It fails if the process exits or
// the context ends first.
func (p *Process) WaitReady(ctx context.Context, probe func(context.Context) error) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		err := probe(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.exited:
			return fmt.Errorf("wait for %s: %w", p.name(), errors.Join(ErrExited, p.err))
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w: %w", p.name(), ctx.Err(), err)
		}
	}
}

func (p *Process) name() string { return filepath.Base(p.spec.Path) }

// HTTPReady returns a probe that succeeds when GET url responds with status 200.
func HTTPReady(url string) func(context.Context) error {
	return func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("GET %s: status %s", url, response.Status)
		}
		return nil
	}
}

// Stop sends SIGTERM and waits until the process exits. It returns an error if the
// exit status is not 0, and kills the process when the context ends.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("stop %s: killed after SIGTERM: %w", p.name(), ctx.Err())
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}

// Reload sends SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name(), ErrExited)
	}
	return err
}

// SiblingPath returns the path of another program of this repository in the folder
// of the running executable.
func SiblingPath(name string) (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the running executable: %w", err)
	}
	path := filepath.Join(filepath.Dir(executable), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find %s; build all programs into one folder: %w", name, err)
	}
	return path, nil
}
