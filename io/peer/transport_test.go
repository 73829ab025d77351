package peer_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/peer"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit bounds the wait for an expected event.
const waitLimit = 10 * time.Second

// testHost is the transport of one host with the events it has reported.
type testHost struct {
	*peer.Transport
	mu     sync.Mutex
	events []kernel.Event
}

func (e *testHost) record(event kernel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

// linked reports whether the events so far leave a link to the host open, in
// either direction.
func (e *testHost) linked(host id.Host) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := map[bool]bool{}
	for _, event := range e.events {
		switch event := event.(type) {
		case kernel.LinkUp:
			open[event.Outbound] = open[event.Outbound] || event.Host == host
		case kernel.LinkDown:
			open[event.Outbound] = open[event.Outbound] && event.Host != host
		}
	}
	return open[true] || open[false]
}

// received counts the messages from the host.
func (e *testHost) received(host id.Host) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, event := range e.events {
		if message, ok := event.(kernel.Received); ok && message.Host == host {
			count++
		}
	}
	return count
}

func keys(t *testing.T, issuer *authority.Authority, host id.Host) *certificate.Keys {
	t.Helper()
	identity, err := issuer.Issue("reduit", host)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := issuer.Write(folder, identity); err != nil {
		t.Fatal(err)
	}
	loaded, err := certificate.Load(settings.TLS{
		CertificateFile: folder + "/" + authority.CertificateFile,
		KeyFile:         folder + "/" + authority.KeyFile,
		AuthorityFile:   folder + "/" + authority.RootFile,
	})
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func listen(t *testing.T, issuer *authority.Authority, host id.Host, address string) *testHost {
	t.Helper()
	e := &testHost{}
	transport, err := peer.Listen(address, keys(t, issuer, host), certificate.Identity{Host: host, Domain: "reduit"}, e.record)
	if err != nil {
		t.Fatal(err)
	}
	e.Transport = transport
	return e
}

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	issuer, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return issuer
}

func eventually(t *testing.T, condition string, satisfied func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !satisfied() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
		time.Sleep(time.Millisecond)
	}
}

func frame(base uint64) *message.Frame {
	return &message.Frame{Body: &message.Frame_Want{Want: &message.Want{Base: base}}}
}

// sendUntil sends messages until the other host has received one. One may not be
// enough: a link closed as a duplicate drops its queued messages.
func sendUntil(t *testing.T, from, to *testHost, fromHost, toHost id.Host) {
	t.Helper()
	before := to.received(fromHost)
	eventually(t, string(fromHost)+" reaches "+string(toHost), func() bool {
		from.Send(toHost, frame(1))
		time.Sleep(5 * time.Millisecond)
		return to.received(fromHost) > before
	})
}

// Guards against two hosts that dial each other at the same time and are left
// without a link, or with each of them keeping a different one.
func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	is := is.New(t)
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	b := listen(t, issuer, "b", "127.0.0.1:0")
	defer b.Close()
	a.Dial("b", b.Address().String())
	b.Dial("a", a.Address().String())
	eventually(t, "a is linked", func() bool { return a.linked("b") })
	sendUntil(t, a, b, "a", "b")
	sendUntil(t, b, a, "b", "a")
	is.True(a.linked("b"))
	is.True(b.linked("a"))
}

// Guards against a peer that rejects a restarted host as a duplicate until the
// link to the former process times out.
func TestRestartedHostReconnects(t *testing.T) {
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	b := listen(t, issuer, "b", "127.0.0.1:0")
	a.Dial("b", b.Address().String())
	eventually(t, "a is linked", func() bool { return a.linked("b") })
	sendUntil(t, a, b, "a", "b")
	address := b.Address().String()
	b.Close()
	eventually(t, "a has lost the link", func() bool { return !a.linked("b") })
	restarted := listen(t, issuer, "b", address)
	defer restarted.Close()
	restarted.Dial("a", a.Address().String())
	sendUntil(t, restarted, a, "b", "a")
	sendUntil(t, a, restarted, "a", "b")
}

// Guards against a link to a host with a certificate from another authority, or
// for a host other than the dialled one.
func TestWrongIdentityIsRejected(t *testing.T) {
	is := is.New(t)
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	stranger := listen(t, newAuthority(t), "b", "127.0.0.1:0")
	defer stranger.Close()
	c := listen(t, issuer, "c", "127.0.0.1:0")
	defer c.Close()
	for _, address := range []string{stranger.Address().String(), c.Address().String()} {
		failed := len(a.events)
		a.Dial("b", address)
		eventually(t, "the dial fails", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.events) > failed
		})
	}
	stranger.Dial("a", a.Address().String())
	eventually(t, "the stranger's dial fails", func() bool {
		stranger.Send("a", frame(1))
		return !stranger.linked("a")
	})
	is.True(!a.linked("b"))
	is.Equal(a.received("b"), 0)
}

// Guards against datagrams of other protocols that stop the transport.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	b := listen(t, issuer, "b", "127.0.0.1:0")
	defer b.Close()
	noise, err := net.Dial("udp", a.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = noise.Close() }()
	for size := range 1200 {
		_, _ = noise.Write(make([]byte, size))
	}
	b.Dial("a", a.Address().String())
	sendUntil(t, b, a, "b", "a")
}
