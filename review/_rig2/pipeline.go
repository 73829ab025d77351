package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// stopAt is when the requests are sent after the SIGTERM: after the 2.5 s in which
	// clients notice it, and before the 3 s after which the rule excuses some requests.
	stopAt = 2800 * time.Millisecond
	// pipelineTimeout is the timeout of the route.
	pipelineTimeout = 4 * time.Second
)

// pipelined is one request of a pipeline.
type pipelined struct {
	id       string
	takes    time.Duration
	deadline time.Duration
}

// playPipeline stops the only daemon of a zone. A client that still sends there, since
// fewer than half of the zone's daemons are in, has three lookups on one connection: the
// first and the third can end long before the grace time does, the second need not.
func playPipeline(f *fleet, trouble bool) (int, error) {
	for i, domain := range []string{"reduit", "ebene"} {
		if _, err := f.addHost(hostSpec{domain: domain, service: fmt.Sprint("service-", i), slots: 18, handler: plain}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration("r1", []string{"service-0", "service-1"},
		platformtest.Route("look", "/look/", "safe", "service-1", pipelineTimeout, 2)))
	if err := f.start(); err != nil {
		return 0, err
	}
	client := f.hosts[0]
	if err := f.warmUp(client, "/look/"); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp4", client.address(portCaller))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if err := f.pipeline(conn, []pipelined{{"before", 20 * time.Millisecond, 2 * time.Second}}); err != nil {
		return 0, err
	}
	if _, err := f.readAnswer(reader, "before"); err != nil {
		return 0, err
	}
	// The other clients of the host go on sending, too.
	others, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.keepSending(others, client, "/look/")
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		if err := client.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		f.note("SIGTERM to the daemon of %s", client.name)
	}
	for misses := 0; time.Since(stopped) < stopAt; time.Sleep(time.Second) {
		if client.ready() {
			misses = 0
		} else {
			misses++
		}
		f.note("platform: %s has missed %d readiness checks; 1 daemon in its zone", client.name, misses)
		if left := stopAt - time.Since(stopped); left < time.Second {
			time.Sleep(left)
			break
		}
	}
	requests := []pipelined{
		{"first", 600 * time.Millisecond, 2 * time.Second},
		{"second", 100 * time.Millisecond, 4 * time.Second},
		{"third", 1200 * time.Millisecond, 2 * time.Second},
	}
	if err := f.pipeline(conn, requests); err != nil {
		return 0, err
	}
	lost := 0
	var ended error
	for _, request := range requests {
		if ended == nil {
			_, ended = f.readAnswer(reader, request.id)
		}
		ranAt, ran := f.hosts[1].backend.ranAt(request.id)
		switch {
		case ended == nil:
		case ran:
			lost++
			f.note("client: the connection ended without the answer to %s, which a target had begun to run at %.3f: %v",
				request.id, ranAt.Sub(f.began).Seconds(), ended)
		default:
			f.note("client: the connection ended without the answer to %s, which reached no target", request.id)
		}
	}
	return lost, nil
}

// pipeline sends the requests at once.
func (f *fleet) pipeline(conn net.Conn, requests []pipelined) error {
	text := ""
	for _, request := range requests {
		f.note("client: sends %s, deadline %v, takes %v", request.id, request.deadline, request.takes)
		text += fmt.Sprintf("GET /look/%s?takes_ms=%d HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n\r\n", request.id,
			request.takes.Milliseconds(), headerRequestID, request.id, headerDeadline, request.deadline.Milliseconds())
	}
	_, err := io.WriteString(conn, text)
	return err
}

// readAnswer reads the next answer of a connection.
func (f *fleet) readAnswer(reader *bufio.Reader, id string) (int, error) {
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // Reading it whole is enough.
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	f.note("client: %s is answered %d%s, Retry-After: %q, body %q", id, response.StatusCode,
		closes(response), response.Header.Get("Retry-After"), body)
	if isSigned(response.Header) && response.Header.Get(headerRequestID) != id {
		return 0, errors.New("the answer belongs to another request")
	}
	return response.StatusCode, nil
}

// closes says whether the response ends its connection.
func closes(response *http.Response) string {
	if response.Close {
		return ", Connection: close"
	}
	return ""
}
