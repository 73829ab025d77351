package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/lane"
)

const (
	heldLimit = 4 << 20
	floodTime = 10 * time.Second
)

// downloadBackend is a LocalBackend whose responses are read through a pool.
type downloadBackend struct {
	*fakeBackend
	pool   *http1.Pool
	source string
}

func (b downloadBackend) Send(ctx context.Context, call Call, _ *http1.Request) (*http1.Response, *refusal.Error) {
	if !call.Large {
		return &http1.Response{Status: http.StatusOK, Header: http.Header{}}, nil
	}
	response, err := b.pool.Do(ctx, b.source, &http1.Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	if err != nil {
		return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, err)
	}
	return response, nil
}

// RecordRefusal may be called concurrently.
func (b downloadBackend) RecordRefusal(_ Call, _ *http1.Request, refused *refusal.Error) *refusal.Error {
	return refused
}

// Guards against other daemons whose bodies stop or who do not read responses, and so fill
// the memory of this one: what is held is bounded, an ordinary request is served, a
// request for which there is no memory is refused as not run also to a sender that writes
// its whole body first, and nothing is held in the end.
func TestFloodsOfDaemonsAreBounded(t *testing.T) {
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 500_000)) }))
	defer source.Close()
	call := func(length int, large bool) string {
		header := http.Header{}
		Call{Server: "i-1", Left: floodTime, Aim: floodTime, Large: large}.write(header)
		var text strings.Builder
		_, _ = fmt.Fprintf(&text, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", length)
		_ = header.Write(&text)
		return text.String() + "\r\n"
	}
	for _, test := range []struct {
		name, text string
		refuses    bool
	}{
		{"bodies that stop", call(500_000, false) + strings.Repeat("x", 499_999), true},
		{"responses that nobody reads", call(0, true), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			account := holdings.New(heldLimit)
			pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20, Account: account, Purpose: holdings.Response})
			defer pool.CloseIdle()
			handler := NewHandler(HandlerOptions{
				Local: downloadBackend{&fakeBackend{}, pool, strings.TrimPrefix(source.URL, "http://")}, Account: account,
				Lane: lane.New(link.New(0), 0), Now: func() id.Instant { return handlerTime },
				Admit: func(work shutdown.Work) (id.Instant, bool) { return work.Deadline, true },
			})
			daemon := httptest.NewUnstartedServer(handler)
			daemon.Listener = http1.Listener{Listener: daemon.Listener, Account: account, Conns: holdings.New(100)}
			daemon.Config.ConnContext, daemon.Config.ConnState = http1.ConnContext, http1.ConnState
			daemon.Start()
			defer daemon.Close()
			address := daemon.Listener.Addr().String()
			host, port, _ := strings.Cut(address, ":")
			bounded := func() {
				if total := account.Total(); total > heldLimit+heldLimit/4 {
					t.Fatalf("held %d bytes of %d", total, heldLimit)
				}
			}
			conns := make([]net.Conn, 0, 40)
			for range 40 {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				conns = append(conns, conn)
				go func() { _, _ = io.WriteString(conn, test.text) }()
			}
			client := NewClient(pool, port, func(placement.Report) {}, func(int) {})
			do := func(length int) *refusal.Error {
				_, refused := client.Do(t.Context(), &backend.Server{ID: "i-1", Address: host + ":1"}, Call{Server: "i-1", Left: floodTime},
					&http1.Request{Method: http.MethodPost, Target: "/", Host: "shop", Header: http.Header{}, Body: make([]byte, length)})
				return refused
			}
			for deadline := time.Now().Add(floodTime); test.refuses && account.Stats().Refused == 0; time.Sleep(time.Millisecond) {
				bounded()
				is.True(time.Now().Before(deadline))
			}
			if test.refuses {
				if refused := do(900_000); refused != nil {
					is.Equal(refused.Reason, refusal.MemoryFull)
					is.Equal(refused.Outcome, refusal.NotRun)
				}
			}
			for deadline := time.Now().Add(floodTime); do(10_000) != nil; time.Sleep(time.Millisecond) {
				bounded()
				is.True(time.Now().Before(deadline))
			}
			for _, conn := range conns {
				_ = conn.Close()
			}
			pool.CloseIdle()
			for deadline := time.Now().Add(floodTime); account.Total() > 0; time.Sleep(time.Millisecond) {
				bounded()
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes are held in the end", account.Total())
				}
			}
		})
	}
}
