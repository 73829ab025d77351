package hop_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/hop"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
)

// keysOf issues a certificate for the host and returns its keys.
func keysOf(t testing.TB, issuer *authority.Authority, host id.Host) *certificate.Keys {
	t.Helper()
	identity, err := issuer.Issue("reduit", host)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := issuer.Write(folder, identity); err != nil {
		t.Fatal(err)
	}
	keys, err := certificate.Load(settings.TLS{
		CertificateFile: folder + "/" + authority.CertificateFile,
		KeyFile:         folder + "/" + authority.KeyFile,
		AuthorityFile:   folder + "/" + authority.RootFile,
	})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func newAuthority(t testing.TB) *authority.Authority {
	t.Helper()
	issuer, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return issuer
}

// freeAddress returns an address whose port is free for TCP and usually for UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func serve(t testing.TB, keys *certificate.Keys, handler http.Handler) string {
	t.Helper()
	var address string
	var server *hop.Server
	err := errors.New("not started")
	// The UDP port with the number of a free TCP port may be in use.
	for attempt := 0; err != nil && attempt < 10; attempt++ {
		address = freeAddress(t)
		server, err = hop.Serve(address, keys, handler)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return address
}

func lookupTo(address string) hop.Lookup {
	return func(id.Host) (string, bool) { return address, true }
}

func call() hop.Call {
	return hop.Call{
		ID: "c1", Service: "counter", Class: document.ClassOrder, Depth: 1, Key: "k1",
		Deadline: id.InstantOf(time.Now().Add(10 * time.Second)),
	}
}

func post(t testing.TB, body string) *http.Request {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, "http://mesh/orders", strings.NewReader(body))
	request.RequestURI = ""
	return request
}

// Guards against a truncated response that looks complete, for each hop transport
// and each way in which an upstream body can end early or be followed by a malformed
// trailer.
func TestTruncatedResponsesAreAborted(t *testing.T) {
	whole := strings.Repeat("x", 100_000)
	upstreams := []struct {
		name   string
		answer string
		whole  bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + whole, true},
		{"whole chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole + "\r\n0\r\n\r\n", true},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n" + whole, false},
		{"chunked without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole + "\r\n", false},
		{"chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole[:70_000], false},
		{"whole with trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole + "\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		{"blank in trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole + "\r\n0\r\nX Sum: 1\r\n\r\n", false},
		{"broken chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + whole + "zz\r\n", false},
	}
	issuer := newAuthority(t)
	for _, transport := range hop.Transports() {
		for _, upstream := range upstreams {
			t.Run(transport+"/"+upstream.name, func(t *testing.T) {
				is := is.New(t)
				source := rawServer(t, upstream.answer)
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					response, err := http.Get("http://" + source) //nolint:bodyclose // Relay closes it.
					if err != nil {
						hop.Refuse(w, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, err))
						return
					}
					response.Header.Set(hop.HeaderOutcome, refusal.Ran.String())
					hop.Relay(w, response)
				})
				address := serve(t, keysOf(t, issuer, "b"), handler)
				client := hop.NewClient(keysOf(t, issuer, "a"), lookupTo(address), transport)
				defer client.CloseIdle()
				response, refused := client.Do("b", post(t, "order"), call())
				if refused != nil {
					is.True(!upstream.whole)
					is.Equal(refused.Outcome, refusal.Unknown)
					return
				}
				body, err := io.ReadAll(response.Body)
				is.NoErr(response.Body.Close())
				is.Equal(err == nil, upstream.whole)
				if err == nil {
					is.Equal(string(body), whole)
				}
			})
		}
	}
}

// rawServer writes the given bytes to each connection and closes it.
func rawServer(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against http3.Transport, which retries a request on a new connection if
// the server rejects its stream or if the reused connection is unusable. Only
// io/caller may retry, and it counts and limits the retries.
func TestHTTP3DoesNotRetry(t *testing.T) {
	is := is.New(t)
	issuer := newAuthority(t)
	var streams atomic.Int64
	address := rejectingServer(t, keysOf(t, issuer, "b"), &streams)
	client := hop.NewClient(keysOf(t, issuer, "a"), lookupTo(address), settings.HTTP3)
	for range 3 {
		before := streams.Load()
		request := post(t, "")
		request.Body = http.NoBody
		_, refused := client.Do("b", request, call()) //nolint:bodyclose // There is no response.
		is.True(refused != nil)
		is.Equal(streams.Load()-before, int64(1))
	}
}

// rejectingServer accepts HTTP/3 connections and rejects each request stream after
// the request has arrived.
func rejectingServer(t *testing.T, keys *certificate.Keys, streams *atomic.Int64) string {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", http3.ConfigureTLSConfig(keys.Server("h3")), &quic.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go rejectStreams(conn, streams)
		}
	}()
	return listener.Addr().String()
}

func rejectStreams(conn *quic.Conn, streams *atomic.Int64) {
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		streams.Add(1)
		_, _ = stream.Read(make([]byte, 4096))
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
	}
}

// Guards against refusals whose outcome or reason is lost between daemons.
func TestRefusalsArePreserved(t *testing.T) {
	issuer := newAuthority(t)
	cases := []struct {
		refused *refusal.Error
		status  int
	}{
		{refusal.New(refusal.QueueFull, refusal.NotRun), http.StatusServiceUnavailable},
		{refusal.New(refusal.RateLimited, refusal.NotRun), http.StatusTooManyRequests},
		{refusal.New(refusal.BackendBroken, refusal.Unknown), http.StatusBadGateway},
		{refusal.New(refusal.DeadlinePassed, refusal.Unknown), http.StatusGatewayTimeout},
	}
	for _, transport := range hop.Transports() {
		for _, c := range cases {
			t.Run(transport+"/"+c.refused.Reason.String()+"/"+c.refused.Outcome.String(), func(t *testing.T) {
				is := is.New(t)
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { hop.Refuse(w, c.refused) })
				client := hop.NewClient(keysOf(t, issuer, "a"), lookupTo(serve(t, keysOf(t, issuer, "b"), handler)), transport)
				defer client.CloseIdle()
				_, refused := client.Do("b", post(t, "order"), call()) //nolint:bodyclose // A refusal has no body.
				is.True(refused != nil)
				is.Equal(refused.Reason, c.refused.Reason)
				is.Equal(refused.Outcome, c.refused.Outcome)
				recorder := httptest.NewRecorder()
				hop.Refuse(recorder, c.refused)
				is.Equal(recorder.Code, c.status)
			})
		}
	}
}

// Guards against a listener that accepts a daemon of another authority, a client
// that sends a call to another host than the chosen one, and garbage that stops the
// listener.
func TestPeersAreAuthenticated(t *testing.T) {
	issuer, other := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		w.Header().Set(hop.HeaderOutcome, refusal.Ran.String())
	})
	address := serve(t, keysOf(t, issuer, "b"), handler)
	sendGarbage(t, address)
	for _, transport := range hop.Transports() {
		t.Run(transport, func(t *testing.T) {
			is := is.New(t)
			untrusted := hop.NewClient(keysOf(t, other, "a"), lookupTo(address), transport)
			_, refused := untrusted.Do("b", post(t, "order"), call()) //nolint:bodyclose // A refusal has no body.
			is.True(refused != nil)
			trusted := hop.NewClient(keysOf(t, issuer, "a"), lookupTo(address), transport)
			_, refused = trusted.Do("c", post(t, "order"), call()) //nolint:bodyclose // A refusal has no body.
			is.True(refused != nil)
			is.Equal(refused.Outcome, refusal.NotRun)
			is.Equal(served.Load(), int64(0))
			response, refused := trusted.Do("b", post(t, "order"), call())
			is.True(refused == nil)
			is.NoErr(response.Body.Close())
			is.Equal(served.Swap(0), int64(1))
		})
	}
}

// sendGarbage sends bytes and datagrams that are not TLS, and checks that a TLS
// client without a certificate is rejected.
func sendGarbage(t *testing.T, address string) {
	t.Helper()
	noise := bytes.Repeat([]byte{0xA5, 0, 0xFF, '\n'}, 20_000)
	for _, network := range []string{"tcp", "udp"} {
		conn, err := net.Dial(network, address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(noise[:1200])
		_, _ = conn.Write(noise)
		_ = conn.Close()
	}
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The server's check is under test.
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	if err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("a peer without a certificate got %v", err)
	}
}
