package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"marjoramsaddle/platform/platformtest"
)

func init() { cases["pipeline"] = pipeline }

// pipeline: clients send a further safe request while the answer to a download arrives.
// The further one has a body and asks for "100 Continue".
func pipeline(r *rig) (int, error) {
	const downloads = 8
	if err := r.addHosts(daemonOptions{graceS: 6, linkMbps: 10, memoryMB: 184}, "files", "files", "files"); err != nil {
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
			size := 300
			if request.Method == http.MethodGet {
				size = 250_000
			}
			r.note("run %s at %s", platformtest.RequestID(request.Header), name)
			time.Sleep(100 * time.Millisecond)
			platformtest.Sign(w.Header(), name)
			data := body(platformtest.RequestID(request.Header), size)
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			_, _ = w.Write(data)
		})
		r.list(h, name, time.Now(), 18)
	}
	r.publish(1, []string{"files"},
		platformtest.Route("pull", "/pull/", "download", "files", 8*time.Second, 2),
		platformtest.Route("look", "/look/", "safe", "files", 8*time.Second, 2))
	if err := r.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	wrong := 0
	for i := range downloads {
		good, err := r.pipelineOnce(r.hosts[0], newID(2*i), newID(2*i+1))
		if err != nil {
			return 0, err
		}
		if !good {
			wrong++
		}
	}
	r.note("downloads: %d, answered with a body that is not the target's: %d", downloads, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// pipelineOnce sends a download and a lookup on one connection and reports whether the
// download was answered with the whole body of the target. With trouble the lookup is
// sent once the answer to the download begins to arrive, without it after its end.
func (r *rig) pipelineOnce(h *host, pullID, lookID string) (bool, error) {
	conn, err := net.Dial("tcp", h.at(r.caller))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	fmt.Fprint(conn, requestHead(http.MethodGet, "/pull/x", pullID, 8*time.Second))
	r.note("sent download %s", pullID)
	head, err := readHead(reader)
	if err != nil {
		return false, fmt.Errorf("head of the download: %w", err)
	}
	r.note("download %s: %q", pullID, head[:15])
	lookup := requestHead(http.MethodPost, "/look/x", lookID, 8*time.Second, "Expect: 100-continue", "Content-Length: 1000")
	sent := make(chan struct{})
	sendLookup := func() {
		defer close(sent)
		fmt.Fprint(conn, lookup)
		r.note("sent head of lookup %s behind it", lookID)
		// The body follows after a while, as a client does that gets no "100 Continue".
		time.Sleep(300 * time.Millisecond)
		_, _ = conn.Write(bytes.Repeat([]byte("b"), 1000))
	}
	if r.trouble {
		go sendLookup()
	}
	wanted := body(pullID, 250_000)
	got := make([]byte, len(wanted))
	if _, err := io.ReadFull(reader, got); err != nil {
		return false, fmt.Errorf("body of the download: %w", err)
	}
	good := bytes.Equal(got, wanted)
	if !good {
		at := 0
		for got[at] == wanted[at] {
			at++
		}
		r.note("download %s: status 200 and Content-Length %d, but from byte %d on the body is %q instead of %q", pullID, len(wanted), at, got[at:at+40], wanted[at:at+40])
		return false, nil
	}
	r.note("download %s: the target's whole body", pullID)
	if !r.trouble {
		sendLookup()
	}
	<-sent
	for {
		if head, err = readHead(reader); err != nil {
			return false, fmt.Errorf("head of the lookup: %w", err)
		}
		r.note("lookup %s: %q", lookID, head[:12])
		if head[9:12] != "100" {
			return true, nil
		}
	}
}
