package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	downloadBytes   = 300_000
	downloadTimeout = 2 * time.Second
	clientDeadline  = 4 * time.Second
)

func init() { cases["slow-reader"] = slowReader }

// slowReader: some clients read the answers to their downloads slowly. The downloads of
// the others are counted.
func slowReader(r *rig) (int, error) {
	const slowClients, otherClients, length = 32, 16, 25 * time.Second
	if err := r.addHosts(daemonOptions{graceS: 6, linkMbps: 1000, memoryMB: 284}, "files", "files", "files"); err != nil {
		return 0, err
	}
	for i, h := range r.hosts {
		name := fmt.Sprintf("i-%d", i)
		backend, err := platformtest.NewBackend(name, h.service, h.at(r.backend))
		if err != nil {
			return 0, err
		}
		defer backend.Close()
		backend.SetHandler(func(w http.ResponseWriter, request *http.Request) {
			r.note("run %s at %s", platformtest.RequestID(request.Header), name)
			time.Sleep(100 * time.Millisecond)
			platformtest.Sign(w.Header(), name)
			data := body(platformtest.RequestID(request.Header), downloadBytes)
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			_, _ = w.Write(data)
		})
		r.list(h, name, time.Now(), 18)
	}
	r.publish(1, []string{"files"}, platformtest.Route("pull", "/pull/", "download", "files", downloadTimeout, 2))
	if err := r.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var number atomic.Int64
	var answered, late, unanswered atomic.Int64
	var clients sync.WaitGroup
	for client := range slowClients + otherClients {
		slow := client < slowClients
		clients.Go(func() {
			// Clients do not begin all at once.
			time.Sleep(time.Duration(client) * 80 * time.Millisecond)
			for ctx.Err() == nil {
				id := newID(int(number.Add(1)))
				began := time.Now()
				outcome := r.download(r.hosts[0], id, slow && r.trouble)
				took := time.Since(began)
				r.note("download %s, slow reader %v: %s after %.3f s", id, slow && r.trouble, outcome, took.Seconds())
				time.Sleep(50 * time.Millisecond)
				if slow {
					continue
				}
				switch {
				case took < downloadTimeout:
					answered.Add(1)
				case took < downloadTimeout+500*time.Millisecond:
					late.Add(1)
				default:
					unanswered.Add(1)
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	r.note("downloads of clients that read at once: %d answered before timeout_s, %d within 0.5 s after it, %d not within 0.5 s after it", answered.Load(), late.Load(), unanswered.Load())
	// The rule: eight or more have no answer 0.5 s after timeout_s, and over half of
	// those that are unanswered at timeout_s.
	if unanswered.Load() >= 8 && unanswered.Load() > late.Load() {
		return broken, nil
	}
	return held, nil
}

// download makes one download on a new connection and describes its outcome. A slow
// client reads 100 KB a second.
func (r *rig) download(h *host, id string, slow bool) string {
	dialer := net.Dialer{Timeout: time.Second}
	if slow {
		// A small receive buffer and the segment size of a wide-area link: the kernel
		// must not read on behalf of the client.
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			})
		}
	}
	conn, err := dialer.Dial("tcp", h.at(r.caller))
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	fmt.Fprint(conn, requestHead(http.MethodGet, "/pull/x", id, clientDeadline))
	var in io.Reader = conn
	if slow {
		in = &throttled{conn}
	}
	reader := bufio.NewReaderSize(in, 2<<10)
	head, err := readHead(reader)
	if err != nil {
		return "no answer: " + err.Error()
	}
	status := head[9:12]
	if status != "200" {
		return status
	}
	got := make([]byte, downloadBytes)
	n, err := io.ReadFull(reader, got)
	if err != nil {
		return fmt.Sprintf("200 with %d of %d bytes: %v", n, downloadBytes, err)
	}
	if !strings.HasPrefix(string(got), id) {
		return "200 with another body"
	}
	return "200"
}

// throttled reads 100 KB a second.
type throttled struct{ net.Conn }

func (t *throttled) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return t.Conn.Read(p[:min(len(p), 2000)])
}
