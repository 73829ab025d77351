// Command rig plays the scripts of the review: it starts daemons with the command of
// the deploy file on loopback addresses, next to stand-ins for the platform's store,
// backend servers and clients, and records what was sent, answered and run.
//
// Usage: rig CASE PROGRAM RECORD, with TROUBLE=0 in the environment for the run without
// the disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each registers itself.
var cases = map[string]func(*rig) (int, error){}

// daemonOptions are the settings that differ between cases.
type daemonOptions struct {
	graceS   float64
	linkMbps float64
	memoryMB int
}

// host is one machine: a daemon and the backend server beside it.
type host struct {
	name, zone, service, ip string
	settings                string
	daemon                  *exec.Cmd
	log                     *os.File
	ended                   chan struct{}
}

// rig holds the processes and stand-ins of one case.
type rig struct {
	program, dir string
	trouble      bool
	began        time.Time
	options      daemonOptions
	store        *platformtest.Store
	hosts        []*host
	// The ports are the same on all hosts.
	caller, hop, control, readiness, backend string

	mu     sync.Mutex
	record *os.File
	// ran holds the requests that a target has begun to work on.
	ran map[string]bool
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(couldNot)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "rig: unknown case", os.Args[1])
		os.Exit(couldNot)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run prepares the rig, plays the case and ends all processes.
func run(play func(*rig) (int, error), program, recordPath string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return couldNot
	}
	defer record.Close()
	r := &rig{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, store: platformtest.NewStore()}
	defer r.store.Close()
	defer r.stopAll()
	r.note("trouble: %v", r.trouble)
	result, err := play(r)
	if err != nil {
		r.note("could not run: %v", err)
		result = couldNot
	}
	r.note("exit %d", result)
	return result
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// ctx is the context of the clients, which end by themselves.
func (r *rig) ctx() context.Context { return context.Background() }

// markRun records that a target has begun to work on a request.
func (r *rig) markRun(id, target string) {
	r.note("run %s at %s", id, target)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ran == nil {
		r.ran = map[string]bool{}
	}
	r.ran[id] = true
}

// hasRun reports whether a target has begun to work on a request.
func (r *rig) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// running reports whether the daemon of a host runs.
func (h *host) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// quoteCrash copies the first lines of a crash from the log of a daemon to the record.
func (r *rig) quoteCrash(h *host) {
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return
	}
	_, crash, found := strings.Cut(string(data), "panic: ")
	if !found {
		return
	}
	for i, line := range strings.Split(crash, "\n") {
		if i > 24 {
			return
		}
		if !strings.HasPrefix(line, "\t") {
			r.note("log of %s: %s", h.name, line)
		}
	}
}

// addHosts prepares a host in a zone of its own for each service. The addresses are
// drawn at random, so that runs do not meet each other.
func (r *rig) addHosts(options daemonOptions, services ...string) error {
	r.options = options
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i, service := range services {
		r.hosts = append(r.hosts, &host{
			name: fmt.Sprintf("host-%d", i), zone: fmt.Sprintf("zone-%d", i), service: service, ip: fmt.Sprintf("%s.%d", network, i+1),
		})
	}
	for _, port := range []*string{&r.caller, &r.hop, &r.control, &r.readiness, &r.backend} {
		listener, err := net.Listen("tcp", r.hosts[0].ip+":0")
		if err != nil {
			return err
		}
		defer listener.Close()
		if _, *port, err = net.SplitHostPort(listener.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) at(port string) string { return net.JoinHostPort(h.ip, port) }

// list registers the backend server of a host in the store.
func (r *rig) list(h *host, id string, born time.Time, slots int) {
	backend := platformtest.Backend{Service: h.service, Address: h.at(r.backend)}
	entry := backend.Entry(h.zone, "ready", slots)
	entry["born"] = born.UnixMilli()
	r.store.Put(platformtest.ServerPrefix+id, entry)
	r.note("listed %s at %s, born %d", id, h.at(r.backend), born.UnixMilli())
}

// startAll starts all daemons and waits until they are ready.
func (r *rig) startAll() error {
	for _, h := range r.hosts {
		if err := r.start(h); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.waitReady(h); err != nil {
			return err
		}
	}
	return nil
}

// start starts the daemon of a host as the platform does.
func (r *rig) start(h *host) error {
	settings := expand("settings.json", map[string]string{
		"host": h.name, "ip": h.ip, "zone": h.zone, "service": h.service,
		"caller": h.at(r.caller), "hop": h.at(r.hop), "control": h.at(r.control), "readiness": h.at(r.readiness),
		"backend": h.at(r.backend), "store": r.store.Address(),
		"grace": fmt.Sprint(r.options.graceS), "memory": fmt.Sprint(r.options.memoryMB), "link": fmt.Sprint(r.options.linkMbps),
	})
	h.settings = filepath.Join(r.dir, h.name+".json")
	if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.daemon = exec.Command(r.program, "run")
	h.daemon.Env = []string{"MARJORAMSADDLE_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	h.daemon.Stdout, h.daemon.Stderr = h.log, h.log
	if err := h.daemon.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	daemon := h.daemon
	go func() {
		err := daemon.Wait()
		r.note("daemon of %s ended: %v", h.name, err)
		close(ended)
	}()
	r.note("daemon of %s started, pid %d", h.name, daemon.Process.Pid)
	return nil
}

// waitReady waits until the daemon of a host is ready.
func (r *rig) waitReady(h *host) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.at(r.readiness) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(h.name + " is not ready after 10 s")
}

// signal sends a signal to the daemon of a host.
func (r *rig) signal(h *host, signal syscall.Signal) {
	r.note("%v to the daemon of %s", signal, h.name)
	_ = h.daemon.Process.Signal(signal)
}

// stopAll kills the daemons that still run. A case that could not run or broke the rule
// gets the warnings of the daemons into its record.
func (r *rig) stopAll() {
	for _, h := range r.hosts {
		if h.daemon == nil || h.daemon.Process == nil {
			continue
		}
		_ = h.daemon.Process.Kill()
		<-h.ended
		_ = h.log.Close()
		if data, err := os.ReadFile(h.log.Name()); err == nil && os.Getenv("KEEP") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP"), h.name+".log"), data, 0o600)
		}
	}
}

// publish writes a configuration to the store.
func (r *rig) publish(version int, services []string, routes ...map[string]any) {
	r.store.Put(platformtest.ConfigurationKey, platformtest.Configuration(fmt.Sprintf("r%d", version), services, routes...))
	r.note("configuration r%d", version)
}

// requestSeed distinguishes the request IDs of this run.
var requestSeed = rand.Uint32()

// newID returns a request ID. All have the same length.
func newID(number int) string { return fmt.Sprintf("%08x%08x", requestSeed, number) }

// body returns the body that a backend server gives to a request, which no other
// request gets.
func body(id string, size int) []byte {
	return []byte(strings.Repeat(id+".", size/(len(id)+1)+1)[:size])
}

// readHead reads the head of a message up to the blank line.
func readHead(in io.ByteReader) (string, error) {
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		b, err := in.ReadByte()
		if err != nil {
			return head.String(), err
		}
		head.WriteByte(b)
	}
	return head.String(), nil
}
