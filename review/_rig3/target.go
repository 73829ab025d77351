package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a target began to work on.
type run struct {
	id, target, service, path, caller string
	at                                time.Time
}

// target is a stand-in of an application target. It writes its entry to the store every
// heartbeat.
type target struct {
	f       *fleet
	id      string
	service string
	zone    string
	address string

	mu      sync.Mutex
	server  *http.Server
	born    time.Time
	seq     int
	state   string
	leaving bool
	limit   string
	// silent is set while the target writes no entry.
	silent bool
	cancel context.CancelFunc
}

// start starts a process of the target, with born as its start time by its machine's clock.
func (t *target) start(born time.Time) error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	t.mu.Lock()
	t.server, t.born, t.seq, t.state, t.leaving, t.limit, t.cancel = server, born, 0, "ready", false, "", cancel
	t.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	t.beat()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeat):
				t.beat()
			}
		}
	}()
	return nil
}

// crash ends the process of the target.
func (t *target) crash() {
	t.mu.Lock()
	server, cancel := t.server, t.cancel
	t.mu.Unlock()
	if server != nil {
		cancel()
		_ = server.Close()
	}
}

// beat writes the entry.
func (t *target) beat() (uint64, bool) {
	t.mu.Lock()
	if t.silent {
		t.mu.Unlock()
		return 0, false
	}
	t.seq++
	entry := map[string]any{
		"address": t.address, "born": t.born.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status": map[string]any{"state": t.state, "seq": t.seq, wire["cold"]: 0},
	}
	t.mu.Unlock()
	return t.f.store.put("servers/"+t.id, entry)
}

// ServeHTTP runs a request unless it is for another target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	requestID := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(wire["instance"], t.id)
	t.mu.Lock()
	state, leaving, limit := t.state, t.leaving, t.limit
	t.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	switch {
	case r.URL.Path == "/health":
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.Header.Get(wire["expected"]) != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case requestID == "":
		w.Header().Set(wire["not_executed"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.f.addRun(run{id: requestID, target: t.id, service: t.service, path: r.URL.Path, caller: r.Header.Get(wire["caller"]), at: time.Now()})
	select {
	case <-time.After(t.f.workTime):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("answer of %s to %s", t.id, requestID)
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		body += strings.Repeat("x", max(0, size-len(body)))
	}
	w.Header().Set(wire["signature"], "sig."+t.id+"."+requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
