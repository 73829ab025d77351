package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"marjoramsaddle/platform/platformtest"
)

const (
	// longUpload is more than the buffers of the kernel take in of a connection.
	longUpload = 12 << 20
	// deliveryTime is how long what a backend server has sent takes to be read.
	deliveryTime = 50 * time.Millisecond
)

// startRaw starts two hosts. Orders to /own/ go to the backend server of the first host,
// those to /far/ to that of the other one.
func startRaw(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, "counter", "depot")
	configuration := platformtest.Configuration("r1", []string{"counter", "depot"},
		platformtest.Route("own", "/own/", "unsafe", "counter", clientTimeout, 1),
		platformtest.Route("far", "/far/", "unsafe", "depot", clientTimeout, 1))
	platformtest.SetLimits(configuration, 16<<10, 2*longUpload)
	f.store.Put(platformtest.ConfigurationKey, configuration)
	for _, h := range f.hosts {
		f.putServer(h, "ready")
	}
	f.start(f.hosts...)
	for _, h := range f.hosts {
		f.eventually(func() bool { return f.ready(h) && len(h.listedServers()) == len(f.hosts) })
	}
	return f
}

// setRaw sets the responses of all backend servers.
func (f *fleet) setRaw(respond func(x *platformtest.RawExchange)) {
	for _, h := range f.hosts {
		h.backend.SetRawHandler(respond)
	}
}

// Guards against a part of a response without a length that is taken for the whole: the
// backend server responds early to a long upload, which is still being written when the
// connection is reset. One that closes the connection in order has sent the whole.
func TestResetWithinEarlyResponse(t *testing.T) {
	f := startRaw(t)
	ends := []struct {
		name string
		end  func(x *platformtest.RawExchange)
		want int
	}{
		{"reset", (*platformtest.RawExchange).Reset, http.StatusBadGateway},
		{"close", func(x *platformtest.RawExchange) {
			if tcp, ok := x.Conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_, _ = io.Copy(io.Discard, x.Conn)
		}, http.StatusOK},
	}
	for _, end := range ends {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, size := range []int{0, 1, 10_000, 1_200_000} {
				f.setRaw(func(x *platformtest.RawExchange) {
					_, _ = io.WriteString(x.Conn, version+" 200 OK\r\n"+x.Fields+"\r\n"+strings.Repeat("b", size))
					time.Sleep(deliveryTime)
					end.end(x)
				})
				for _, route := range []string{"own", "far"} {
					name := fmt.Sprint(end.name, " ", version, " ", size, " ", route)
					t.Run(name, func(t *testing.T) {
						is := is.New(t)
						reply, err := platformtest.Call(context.Background(), f.address(f.hosts[0].ip, 0), http.MethodPost, "/"+route+"/", name, clientTimeout, strings.Repeat("u", longUpload))
						is.NoErr(err)
						is.Equal(reply.Status, end.want)
						if end.want == http.StatusOK {
							is.Equal(len(reply.Body), size)
						}
					})
				}
			}
		}
	}
}

// Guards against malformed responses that reach a client, whole or with a part left out,
// and against a malformed refusal that is taken for proof that the request has not run.
//
// The input of a command is what the backend server sends: lines, each a Go string without
// quotes, joined by line ends. The line {fields} stands for the fields that identify the
// response and {not executed} for the one that states that the request has not run. The
// output is what the client of an order gets from the backend server of its own host and
// from that of another one.
func TestMalformedResponses(t *testing.T) {
	f := startRaw(t)
	var count int
	datadriven.RunTest(t, "testdata/malformed_responses.txt", func(t *testing.T, data *datadriven.TestData) string {
		f.setRaw(func(x *platformtest.RawExchange) {
			_, _ = io.WriteString(x.Conn, rawResponse(t, data.Input, x))
		})
		var replies strings.Builder
		for _, route := range []string{"own", "far"} {
			count++
			reply, err := platformtest.Call(context.Background(), f.address(f.hosts[0].ip, 0), http.MethodPost, "/"+route+"/", fmt.Sprint("order-", count), clientTimeout, "crate")
			if err != nil {
				data.Fatalf(t, "%s: %v", route, err)
			}
			fmt.Fprintf(&replies, "%s: %d %q\n", route, reply.Status, reply.Body)
		}
		return replies.String()
	})
}

// rawResponse returns the response that the input of a command describes.
func rawResponse(t *testing.T, input string, x *platformtest.RawExchange) string {
	lines := strings.Split(input, "\n")
	for i, line := range lines {
		switch line {
		case "{fields}":
			lines[i] = "Connection: close\r\n" + strings.TrimSuffix(x.Fields, "\r\n")
		case "{not executed}":
			lines[i] = platformtest.NotExecutedField
		default:
			text, err := strconv.Unquote(`"` + line + `"`)
			if err != nil {
				t.Errorf("line %q: %v", line, err)
			}
			lines[i] = text
		}
	}
	return strings.Join(lines, "\r\n")
}

// Guards against header fields of a backend server that pass for those between daemons: an
// order that has run is then taken for one that has not, and is sent again, or its response
// for that to another request.
func TestBackendSendsInternalHeaders(t *testing.T) {
	is := is.New(t)
	f := startRaw(t)
	fields := []string{
		"Marjoramsaddle-Outcome: not_run\r\nMarjoramsaddle-Reason: queue_full", "Marjoramsaddle-Exchange: 0",
		"Marjoramsaddle-Call-Refused: 1", "Marjoramsaddle-Calls: counter=9",
	}
	for i, field := range fields {
		for _, route := range []string{"own", "far"} {
			var runs atomic.Int64
			f.setRaw(func(x *platformtest.RawExchange) {
				runs.Add(1)
				_, _ = io.WriteString(x.Conn, "HTTP/1.1 200 OK\r\n"+x.Fields+field+"\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
			})
			reply, err := platformtest.Call(context.Background(), f.address(f.hosts[0].ip, 0), http.MethodPost, "/"+route+"/", fmt.Sprint("order-", i, route), clientTimeout, "crate")
			is.NoErr(err)
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(runs.Load(), int64(1))
		}
	}
}
