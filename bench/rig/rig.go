// Package rig runs a fleet's simulated platform and backend servers, one per host,
// as child processes, and on request the daemons.
//
// # Usage
//
//	r, err := rig.Start(ctx, rig.Options{Layout: layout, Folder: dir, ServiceTime: 5 * time.Millisecond})
//	defer r.Kill()
//	err = r.Backends[0].Process.Pause()
//	err = r.Stop(ctx)
//	journals, err := r.Journals()
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/process"
	"marjoramsaddle/standin/backend"
	"marjoramsaddle/standin/platform"
)

const (
	platformProgram = "standin-platform"
	backendProgram  = "standin-backend"
	daemonProgram   = "marjoramsaddled"
	logFileMode     = 0o600
	readyTimeout    = 30 * time.Second
)

// Options configures a Rig.
type Options struct {
	Layout *fleet.Layout
	// Folder receives logs and journals.
	Folder string
	// Platform and PlatformControl are the platform's addresses.
	Platform        netip.AddrPort
	PlatformControl netip.AddrPort
	ServiceTime     time.Duration
	// NoBackends starts the platform only.
	NoBackends bool
	// DrainNotice is the time for which backend servers accept requests after they
	// were asked to stop.
	DrainNotice time.Duration
}

// Backend is the process of a host's backend server.
type Backend struct {
	Host    fleet.Host
	Process *process.Process
	journal string
}

// Rig holds the running processes of an experiment.
type Rig struct {
	Platform *process.Process
	Backends []*Backend
	// Daemons holds the daemons in the order of their StartDaemon calls.
	Daemons   []*Daemon
	options   Options
	logs      []*os.File
	processes []*process.Process
}

// Start starts the platform and the backend servers and waits until they are ready.
// If it fails, it leaves no process running.
func Start(ctx context.Context, options Options) (*Rig, error) {
	r := &Rig{options: options}
	if err := r.start(ctx); err != nil {
		r.Kill()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.startPlatform(); err != nil {
		return err
	}
	for _, host := range r.backendHosts() {
		if err := r.startBackend(host); err != nil {
			return err
		}
	}
	return r.waitReady(ctx)
}

func (r *Rig) backendHosts() []fleet.Host {
	if r.options.NoBackends {
		return nil
	}
	return r.options.Layout.Hosts
}

func (r *Rig) startPlatform() error {
	started, err := r.Spawn(platformProgram, platformProgram,
		"--listen", r.options.Platform.String(),
		"--control", r.options.PlatformControl.String())
	r.Platform = started
	return err
}

func (r *Rig) startBackend(host fleet.Host) error {
	// A restarted backend server must not overwrite the journal of the process before.
	journal := filepath.Join(r.options.Folder, fmt.Sprintf("%s-%d.journal", host.Name, len(r.Backends)))
	started, err := r.Spawn(backendProgram, string(host.Name),
		"--name", string(host.Name),
		"--listen", host.Backend.String(),
		"--control", host.BackendControl.String(),
		"--slots", strconv.Itoa(host.Service.Slots),
		"--connections", strconv.Itoa(host.Service.Connections),
		"--connect-time", host.Service.ConnectTime.String(),
		"--probe-time", host.Service.ProbeTime.String(),
		"--service-time", r.options.ServiceTime.String(),
		"--drain-notice", r.options.DrainNotice.String(),
		"--journal", journal)
	if err != nil {
		return err
	}
	r.Backends = append(r.Backends, &Backend{Host: host, Process: started, journal: journal})
	return nil
}

// RestartBackend starts a host's backend server again after its process has exited.
// It appends the new process to Backends.
func (r *Rig) RestartBackend(host fleet.Host) error { return r.startBackend(host) }

// Daemon is the process of a host's daemon.
type Daemon struct {
	Host    fleet.Host
	Process *process.Process
}

// StartDaemon starts a host's daemon with the settings in the host's folder under
// dir. It does not wait until the daemon is ready.
func (r *Rig) StartDaemon(host fleet.Host, dir string) (*Daemon, error) {
	files := fleet.FilesOf(dir, host)
	started, err := r.Spawn(daemonProgram, "daemon-"+string(host.Name), "run", "--settings", files.Settings)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Host: host, Process: started}
	r.Daemons = append(r.Daemons, daemon)
	return daemon, nil
}

// ReadinessProbe returns a probe that succeeds once the daemon serves requests.
func (d *Daemon) ReadinessProbe() func(context.Context) error {
	return process.HTTPReady("http://" + d.Host.Operator.String() + "/v1/health")
}

// Spawn starts a program of this repository, with its output in the log file
// <name>.log. Stop and Kill end it with the other processes.
func (r *Rig) Spawn(program, name string, args ...string) (*process.Process, error) {
	path, err := process.SiblingPath(program)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.options.Folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, logFileMode)
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", name, err)
	}
	r.logs = append(r.logs, log)
	started, err := process.Start(process.Spec{Path: path, Args: args, Output: log})
	if err != nil {
		return nil, err
	}
	r.processes = append(r.processes, started)
	return started, nil
}

func (r *Rig) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	url := "http://" + r.options.PlatformControl.String() + "/counters"
	if err := r.Platform.WaitReady(ctx, process.HTTPReady(url)); err != nil {
		return err
	}
	for _, b := range r.Backends {
		if err := b.Process.WaitReady(ctx, process.HTTPReady("http://"+b.Host.Backend.String()+"/healthz")); err != nil {
			return err
		}
	}
	return nil
}

// SetFaults replaces the faults of a backend server.
func (b *Backend) SetFaults(ctx context.Context, faults backend.Faults) error {
	return post(ctx, "http://"+b.Host.BackendControl.String()+"/faults", faults)
}

// Drain makes a backend server announce its shutdown. The server continues to run.
func (b *Backend) Drain(ctx context.Context) error {
	return post(ctx, "http://"+b.Host.BackendControl.String()+"/drain", struct{}{})
}

// SetPlatformFaults replaces the faults of the platform.
func (r *Rig) SetPlatformFaults(ctx context.Context, faults platform.Faults) error {
	return post(ctx, "http://"+r.options.PlatformControl.String()+"/faults", faults)
}

// PlatformCounters returns the platform's call counters.
func (r *Rig) PlatformCounters(ctx context.Context) (platform.Counters, error) {
	url := "http://" + r.options.PlatformControl.String() + "/counters"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return platform.Counters{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return platform.Counters{}, fmt.Errorf("read platform counters: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var counters platform.Counters
	err = json.NewDecoder(response.Body).Decode(&counters)
	return counters, err
}

func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send control request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("control request failed: %s: %s", response.Status, bytes.TrimSpace(text))
	}
	return nil
}

// Stop stops all processes concurrently and waits for them. A process that has
// already exited is no error.
func (r *Rig) Stop(ctx context.Context) error {
	defer r.closeLogs()
	errs := make([]error, len(r.processes))
	var group sync.WaitGroup
	for i, p := range r.processes {
		group.Go(func() {
			if err := p.Stop(ctx); !errors.Is(err, process.ErrExited) {
				errs[i] = err
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// Kill kills all processes.
func (r *Rig) Kill() {
	for _, p := range r.processes {
		p.Kill()
	}
	r.closeLogs()
}

func (r *Rig) closeLogs() {
	for _, log := range r.logs {
		_ = log.Close()
	}
	r.logs = nil
}

// Journals reads the journals of all backend servers, including killed ones.
func (r *Rig) Journals() ([]backend.Journal, error) {
	journals := make([]backend.Journal, 0, len(r.Backends))
	for _, b := range r.Backends {
		journal, err := backend.ReadJournal(b.journal)
		if err != nil {
			return nil, err
		}
		journals = append(journals, journal)
	}
	return journals, nil
}
