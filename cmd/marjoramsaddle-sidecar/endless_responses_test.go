package main

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"marjoramsaddle/platform/platformtest"
)

// endlessCallers is the number of clients whose backend server sends without end.
const endlessCallers = 90

// endlessResponse is a response that begins with start and goes on with text until the
// daemon closes the connection.
type endlessResponse struct{ start, text string }

// identity stands for the fields that identify a response.
const identity = "{fields}"

// The beginnings of responses.
const (
	okHead      = "HTTP/1.1 200 OK\r\n" + identity
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessCase is a backend server that sends the responses in turn.
type endlessCase struct {
	name, route string
	responses   []endlessResponse
}

// endlessCases returns the cases by the part of a response that does not end.
func endlessCases() []endlessCase {
	bodies := []endlessResponse{
		{okHead + "\r\n", "x"},
		{"HTTP/1.1 500 Internal Server Error\r\n" + identity + "\r\n", "x"},
		{chunkedHead, "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
		{okHead + "Content-Length: 4000000\r\n\r\n", "x"},
	}
	return []endlessCase{
		{"heads", localRoute, []endlessResponse{
			{"HTTP/1.1 200 ", "O"},
			{okHead + "X-Field: ", "x"},
			{okHead, "X-Field: some text\r\n"},
			{"", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
			{"", "no response "},
		}},
		{"bodies", localRoute, bodies},
		{"bodies_at_another_host", remoteRoute, bodies},
		{"chunks", localRoute, []endlessResponse{
			{chunkedHead, "1\r\nx\r\n"},
			{chunkedHead + "1;", "x"},
			{chunkedHead + "0\r\n", "X-Field: some text\r\n"},
			{okHead + "Content-Length: 4\r\n\r\nbody", "more"},
		}},
	}
}

// Guards against a backend server that sends without end, for which a daemon that keeps the
// bytes uses up its memory and ends with the requests of all clients. The daemons must stay
// alive and within their limits, and requests to the other backend server must be answered.
func TestEndlessResponses(t *testing.T) {
	program := buildDaemon(t)
	for i, c := range endlessCases() {
		t.Run(c.name, func(t *testing.T) {
			f := startHostileFleet(t, program, firstEndlessNetwork+i, smallestHost, routeTimeout)
			faulty, otherRoute := f.hosts[0].backend, remoteRoute
			if c.route == remoteRoute {
				faulty, otherRoute = f.hosts[1].backend, localRoute
			}
			var sent atomic.Int64
			faulty.SetRawHandler(func(x *platformtest.RawExchange) {
				c.responses[int(sent.Add(1))%len(c.responses)].send(x)
			})
			played := hostileCase{
				settings: smallestHost, during: otherRoute, clients: []hostileClients{{endlessCallers, singleGet(c.route)}},
				end: func() { faulty.SetRawHandler(nil) },
			}
			f.play(played)
			f.checkLimits(played)
			t.Logf("%d responses without end", sent.Load())
			if sent.Load() < int64(len(c.responses)) {
				t.Error("the backend server has not sent each response")
			}
		})
	}
}

// send sends the response until the daemon closes the connection.
func (r endlessResponse) send(x *platformtest.RawExchange) {
	_, err := io.WriteString(x.Conn, strings.ReplaceAll(r.start, identity, x.Fields))
	block := []byte(strings.Repeat(r.text, 1+64*kib/len(r.text)))
	for err == nil {
		_, err = x.Conn.Write(block)
	}
}

// singleGet sends a GET and reads until the daemon closes the connection.
func singleGet(route string) connectionUse {
	request := []byte(requestHead("GET", "/"+route+"/", "Connection: close"))
	return func(_ context.Context, conn net.Conn) {
		if _, err := conn.Write(request); err == nil {
			readUntilClosed(conn)
		}
	}
}
