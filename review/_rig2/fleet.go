package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// daemonPath is the program of the deploy file, relative to the root of the repository.
const daemonPath = "target/marjoramsaddle-sidecar"

// settingsVariable names the settings file of a daemon.
const settingsVariable = "MARJORAMSADDLE_SETTINGS"

// startTime is how long the daemons may take until they are ready.
const startTime = 15 * time.Second

// The ports of a host, which are the same at all addresses. They lie below the range from
// which the kernel takes the ports of outgoing connections.
const (
	portCaller = iota
	portHop
	portControl
	portReadiness
	portBackend
	portStore
	portCount
)

const (
	firstPort  = 21_000
	portBlocks = 1_500
)

// fleet is a small deployment: a store, and hosts with a daemon and a backend server each.
type fleet struct {
	store  *platformtest.Store
	folder string
	hosts  []*host
	began  time.Time

	mu     sync.Mutex
	record io.Writer
}

// hostSpec describes a host.
type hostSpec struct {
	domain, service string
	slots           int
	memoryMB        int
	linkMbps        float64
	handler         handler
	// slowStore is set if what the host reads of the store passes its link, whose rate is
	// linkMbps.
	slowStore bool
}

// host is one host of the fleet.
type host struct {
	hostSpec
	name, ip string
	backend  *backend
	link     *hostLink
	file     string

	mu     sync.Mutex
	daemon *exec.Cmd
	exited chan struct{}
}

func newFleet(record io.Writer) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{store: platformtest.NewStore(), folder: folder, record: record, began: time.Now()}, nil
}

// note writes a line to the record, with the time since the start of the case.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
		if h.backend != nil {
			h.backend.close()
		}
		if h.link != nil {
			h.link.close()
		}
	}
	f.store.Close()
	_ = os.RemoveAll(f.folder)
}

// address returns the address of one of the host's ports.
func (h *host) address(port int) string {
	return fmt.Sprintf("%s:%d", h.ip, firstPort+os.Getpid()%portBlocks*portCount+port)
}

// addHost adds a host with its backend server and writes its settings file.
func (f *fleet) addHost(spec hostSpec) (*host, error) {
	n := len(f.hosts)
	h := &host{hostSpec: spec, name: fmt.Sprint("host-", n), ip: fmt.Sprintf("127.%d.7.%d", 20+os.Getpid()%100, 1+n)}
	f.hosts = append(f.hosts, h)
	var err error
	if h.backend, err = newBackend(fmt.Sprint("i-", n), h.address(portBackend), spec.handler); err != nil {
		return nil, err
	}
	if spec.slowStore {
		if h.link, err = newHostLink(h.address(portStore), f.store.Address(), spec.linkMbps); err != nil {
			return nil, err
		}
	}
	h.file = filepath.Join(f.folder, h.name+".json")
	return h, f.writeSettings(h)
}

// writeSettings writes the settings of the host as the platform does.
func (f *fleet) writeSettings(h *host) error {
	var seeds []string
	for _, other := range f.hosts {
		if other != h && len(seeds) < 3 {
			seeds = append(seeds, other.address(portControl))
		}
	}
	link, memory := h.linkMbps, h.memoryMB
	if link == 0 {
		link = 1000
	}
	if memory == 0 {
		memory = 284
	}
	store := f.store.Address()
	if h.link != nil {
		store = h.address(portStore)
	}
	data, err := render("settings.json", map[string]any{
		"Name": h.name, "IP": h.ip, "Domain": h.domain, "Service": h.service, "Seeds": seeds, "MemoryMB": memory, "LinkMbps": link,
		"Inbound": h.address(portHop), "Outbound": h.address(portCaller), "Readiness": h.address(portReadiness), "Control": h.address(portControl),
		"Backend": h.address(portBackend), "Store": store,
	})
	if err != nil {
		return err
	}
	partial := h.file + ".new"
	if err := os.WriteFile(partial, data, 0o600); err != nil {
		return err
	}
	return os.Rename(partial, h.file)
}

// list writes the entries of all hosts' backend servers to the store.
func (f *fleet) list() error {
	for _, h := range f.hosts {
		entry, err := h.backend.entry(h.service, h.domain, "ready", h.slots)
		if err != nil {
			return err
		}
		f.store.Put(platformtest.ServerPrefix+h.backend.name, entry)
	}
	return nil
}

// start starts the daemons of all hosts with the command of the deploy file and waits
// until they are ready.
func (f *fleet) start() error {
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) start() error {
	path, err := filepath.Abs(daemonPath)
	if err != nil {
		return err
	}
	cmd := exec.Command(path, "run")
	cmd.Env = append(os.Environ(), settingsVariable+"="+h.file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if folder := os.Getenv("RIG_LOGS"); folder != "" {
		log, err := os.Create(filepath.Join(folder, h.name+".log"))
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the daemon; build it first: %w", err)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.daemon, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// ready asks the daemon as the platform does.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address(portReadiness)+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) waitReady() error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return nil
		}
		if h.hasExited() {
			break
		}
	}
	return errors.New(h.name + " is not ready")
}

func (h *host) hasExited() bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the daemon.
func (h *host) signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon.Process.Signal(signal)
}

func (h *host) kill() {
	h.mu.Lock()
	daemon, exited := h.daemon, h.exited
	h.mu.Unlock()
	if daemon != nil {
		_ = daemon.Process.Kill()
		<-exited
	}
}

// closeConn closes a connection with a reset.
func closeConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
