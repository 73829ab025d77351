// Package process starts and ends this repository's programs for experiments.
// Only the experiment tool uses it. A process is signalled by the id that its
// start returned, and only until its end has been collected, so that a reused
// id is never signalled. Children end with the experiment tool.
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

// readyPoll is the interval between two probes of readiness.
const readyPoll = 10 * time.Millisecond

// ErrExited reports that a process has ended.
var ErrExited = errors.New("process has ended; start it again")

// Spec describes a child process.
type Spec struct {
	Path   string
	Args   []string
	Dir    string
	Output io.Writer // of standard output and standard error; nil discards both
}

// Process is a child of this process.
type Process struct {
	spec  Spec
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // valid after ended is closed
}

// Start starts a child. Callers end it with Stop or Kill.
func Start(spec Spec) (*Process, error) {
	cmd := exec.Command(spec.Path, spec.Args...)
	cmd.Dir = spec.Dir
	cmd.Stdout = spec.Output
	cmd.Stderr = spec.Output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(cmd); err != nil {
		return nil, fmt.Errorf("start %s; build it first: %w", spec.Path, err)
	}
	p := &Process{spec: spec, cmd: cmd, ended: make(chan struct{})}
	go p.collect()
	return p, nil
}

func (p *Process) collect() {
	p.err = p.cmd.Wait()
	close(p.ended)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.ended }

// WaitReady repeats the probe until it succeeds, the process ends or the
// context does.
func (p *Process) WaitReady(ctx context.Context, probe func(context.Context) error) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		err := probe(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.ended:
			return fmt.Errorf("wait for %s: %w", p.name(), errors.Join(ErrExited, p.err))
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w: %w", p.name(), ctx.Err(), err)
		}
	}
}

func (p *Process) name() string { return filepath.Base(p.spec.Path) }

// HTTPReady returns a probe that succeeds when GET url answers with 200.
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
			return fmt.Errorf("%s answers with %s", url, response.Status)
		}
		return nil
	}
}

// Stop asks the process to end with SIGTERM and waits. It returns an error if
// the process ends with another status than 0, and kills it with the context.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("stop %s: killed: %w", p.name(), ctx.Err())
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name(), ErrExited)
	}
	return err
}

// SiblingPath returns the path of another program of this repository, which lies
// beside the running one.
func SiblingPath(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find own program: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find %s; build all programs into one folder: %w", name, err)
	}
	return path, nil
}
