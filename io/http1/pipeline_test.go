package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// Guards against requests that have begun and lose their responses, because the response to
// a request before them in the pipeline closes the connection.
//
// Each line of testdata/pipelines/closed is a request of one pipeline: "serve" is answered
// with 200 once the client has read all responses before it, "refuse" with 503 and
// "Connection: close", "panic" ends the handler. They are handled once all have begun.
func TestPipelineIsAnsweredBeforeClose(t *testing.T) {
	datadriven.RunTest(t, "testdata/pipelines/closed", func(t *testing.T, d *datadriven.TestData) string {
		p := pipelineTest{requests: strings.Fields(d.Input), answered: make([]chan struct{}, len(strings.Fields(d.Input)))}
		for i := range p.answered {
			p.answered[i] = make(chan struct{})
		}
		p.begun.Add(len(p.requests))
		return p.run(t)
	})
}

// pipelineTest is one pipeline.
type pipelineTest struct {
	requests []string
	begun    sync.WaitGroup
	// answered holds a channel for each request that is closed once the client has read
	// its response, or the end of the connection.
	answered []chan struct{}
}

// handle handles a request, whose path has its index.
func (p *pipelineTest) handle(ctx context.Context, r *http.Request) *Response {
	var i int
	if _, err := fmt.Sscanf(r.URL.Path, "/%d", &i); err != nil {
		return nil
	}
	p.begun.Done()
	p.begun.Wait()
	switch p.requests[i] {
	case "refuse":
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Connection": {"close"}}}
	case "panic":
		panic("test")
	}
	if i > 0 {
		select {
		case <-p.answered[i-1]:
		case <-ctx.Done():
			return nil
		}
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(r.URL.Path)}
}

// run sends the pipeline and returns what the client reads.
func (p *pipelineTest) run(t *testing.T) string {
	t.Helper()
	_, address := serve(t, p.handle)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	for i := range p.requests {
		_, _ = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
	}
	var seen strings.Builder
	reader := bufio.NewReader(conn)
	for i, request := range p.requests {
		fmt.Fprintf(&seen, "%s: %s\n", request, readOutcome(reader, fmt.Sprint("/", i)))
		close(p.answered[i])
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		fmt.Fprintf(&seen, "then: %v\n", err)
	}
	return seen.String()
}

// Guards against clients that use a connection again which the server closes after a
// response, and against responses that are lost because the body of their request was not
// read.
func TestLastResponseAnnouncesClose(t *testing.T) {
	limits := func() Limits {
		limits := strictLimits()
		limits.IdleTimeout = headerTimeout
		return limits
	}
	tests := []struct {
		name, request, body, want string
		// stop shuts the server down while the request runs.
		stop bool
	}{
		{name: "http/1.0", request: "GET / HTTP/1.0\r\nHost: a\r\n\r\n", want: "200, closes"},
		{name: "client closes", request: "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", want: "200, closes"},
		{name: "idle timeout", request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", want: "200, closes"},
		{name: "shutdown", request: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", stop: true, want: "200, closes"},
		{
			name: "unread body", request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n",
			body: strings.Repeat("x", 1_000_000), want: "413, closes",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			running := make(chan struct{})
			server, address := serveWith(t, ServerOptions{Limits: limits, Handler: func(_ context.Context, r *http.Request) *Response {
				if r.ContentLength > strictLimits().BodyBytes {
					return &Response{Status: http.StatusRequestEntityTooLarge, Header: http.Header{}}
				}
				close(running)
				time.Sleep(2 * shutdownReadTimeout)
				return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("/")}
			}})
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			_, err = io.WriteString(conn, test.request)
			is.NoErr(err)
			if test.stop {
				<-running
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				go func() { _ = server.Shutdown(ctx) }()
			}
			_, err = io.WriteString(conn, test.body)
			is.NoErr(err)
			is.Equal(readOutcome(bufio.NewReader(conn), "/"), test.want)
		})
	}
}

// readOutcome reads a response, which must have the given body if it is a success.
func readOutcome(reader *bufio.Reader, want string) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no response"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "truncated"
	case response.StatusCode == http.StatusOK && string(body) != want:
		return "the response to another request"
	case response.Close:
		return fmt.Sprint(response.StatusCode, ", closes")
	default:
		return fmt.Sprint(response.StatusCode)
	}
}
