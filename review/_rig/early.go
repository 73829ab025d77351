package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/platform/platformtest"
)

func init() { cases["early"] = early }

const (
	// uploadBytes is the length of a long body, and lastBytes that of its last piece.
	uploadBytes = 400_000
	lastBytes   = 1000
	// earlyInterval is how many answers of the target there are for an early one.
	earlyInterval = 50
	// answerAfter is how much of a long body the target reads before it answers early.
	answerAfter = 380_000
)

// early: a target answers one long request in fifty before it has read its body, keeps
// the connection and reads on. Other clients on kept connections wait for answers.
func early(r *rig) (int, error) {
	const clients, uploads = 8, 2 * earlyInterval
	if err := r.addHosts(daemonOptions{graceS: 6, linkMbps: 1000, memoryMB: 284}, "files", "shop", "shop"); err != nil {
		return 0, err
	}
	for i, h := range r.hosts {
		name := fmt.Sprintf("i-%d", i)
		if h.service == "files" {
			listener, err := r.uploadTarget(name, h.at(r.backend))
			if err != nil {
				return 0, err
			}
			defer listener.Close()
		} else {
			backend, err := r.shopTarget(h, name, 400*time.Millisecond)
			if err != nil {
				return 0, err
			}
			defer backend.Close()
		}
		r.list(h, name, time.Now(), 18)
	}
	r.publish(1, []string{"files", "shop"},
		platformtest.Route("upload", "/upload/", "unsafe", "files", 5*time.Second, 2),
		platformtest.Route("look", "/look/", "safe", "shop", 2*time.Second, 2))
	if err := r.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	entry := r.hosts[0]
	var number, answered, lost atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() { r.lookups(entry, stop, &number, &answered, &lost) })
	}
	time.Sleep(time.Second)
	for range uploads {
		if !entry.running() {
			break
		}
		id := newID(int(number.Add(1)))
		if err := r.upload(entry, id); err != nil {
			r.note("upload %s: %v", id, err)
		}
	}
	close(stop)
	running.Wait()
	alive := entry.running()
	r.note("requests on kept connections: %d answered, %d passed on to a sound target and ended with the connection; the daemon runs: %v", answered.Load(), lost.Load(), alive)
	r.quoteCrash(entry)
	// LOST allows three.
	if lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}

// shopTarget starts a sound target whose requests take the given time.
func (r *rig) shopTarget(h *host, name string, work time.Duration) (*platformtest.Backend, error) {
	backend, err := platformtest.NewBackend(name, h.service, h.at(r.backend))
	if err != nil {
		return nil, err
	}
	backend.SetHandler(func(w http.ResponseWriter, request *http.Request) {
		id := platformtest.RequestID(request.Header)
		r.markRun(id, name)
		time.Sleep(work)
		platformtest.Sign(w.Header(), name)
		_, _ = w.Write(body(id, 1500))
	})
	return backend, nil
}

// lookups sends lookups one after the other on a kept connection, and counts those that
// ended with the connection.
func (r *rig) lookups(h *host, stop <-chan struct{}, number, answered, lost *atomic.Int64) {
	client := platformtest.NewClient(h.at(r.caller))
	defer client.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID(int(number.Add(1)))
		answer, reused, err := client.Call(r.ctx(), http.MethodGet, "/look/x", id, 2*time.Second)
		r.note("lookup %s: %d, on a kept connection: %v, %v", id, answer.Status, reused, err)
		switch {
		case err == nil:
			answered.Add(1)
		case reused && r.hasRun(id):
			lost.Add(1)
			return
		default:
			return
		}
	}
}

// upload sends a long request, whose last piece follows after a pause, and reads its
// answer.
func (r *rig) upload(h *host, id string) error {
	conn, err := net.Dial("tcp", h.at(r.caller))
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	head := requestHead(http.MethodPost, "/upload/x", id, 5*time.Second, "Content-Length: "+strconv.Itoa(uploadBytes))
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	data := bytes.Repeat([]byte("u"), uploadBytes)
	if _, err := conn.Write(data[:uploadBytes-lastBytes]); err != nil {
		return err
	}
	r.note("sent upload %s, %d of %d bytes", id, uploadBytes-lastBytes, uploadBytes)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		time.Sleep(100 * time.Millisecond)
		_, err := conn.Write(data[uploadBytes-lastBytes:])
		r.note("sent the last %d bytes of upload %s: %v", lastBytes, id, err)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	got, err := io.ReadAll(response.Body)
	r.note("upload %s: answered %d with %d bytes: %v", id, response.StatusCode, len(got), err)
	<-sent
	time.Sleep(20 * time.Millisecond)
	return err
}

// uploadTarget starts a target that answers one request in earlyInterval when it has
// read a part of its body, and then reads on. The others, and with TROUBLE=0 all, are
// answered when their body has been read.
func (r *rig) uploadTarget(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	var answers atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serveUploads(name, conn, &answers)
		}
	}()
	return listener, nil
}

// serveUploads answers the requests on a connection.
func (r *rig) serveUploads(name string, conn net.Conn, answers *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := platformtest.RequestID(request.Header)
		before := int64(answerAfter)
		if !r.trouble || answers.Add(1)%earlyInterval != 0 {
			before = uploadBytes
		}
		n, err := io.CopyN(io.Discard, request.Body, before)
		if err != nil {
			r.note("target %s: request %s ended after %d bytes: %v", name, id, n, err)
			return
		}
		r.note("run %s at %s, answers after %d bytes", id, name, n)
		answer := body(id, 300)
		_, _ = io.WriteString(conn, answerHead(id, name, "Content-Length: "+strconv.Itoa(len(answer)))+string(answer))
		n, err = io.Copy(io.Discard, request.Body)
		r.note("target %s: read %d more bytes of %s: %v", name, n, id, err)
		if err != nil {
			return
		}
	}
}
