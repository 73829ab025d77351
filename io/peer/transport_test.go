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

// waitLimit bounds the wait for an event that must come.
const waitLimit = 10 * time.Second

// end is one transport with the events it has reported.
type end struct {
	*peer.Transport
	mu     sync.Mutex
	events []kernel.Event
}

func (e *end) take(event kernel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

// up reports whether a link to the host stands by the events so far. The end
// of a link in one direction says nothing about the other.
func (e *end) up(host id.Host) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stands := map[bool]bool{}
	for _, event := range e.events {
		switch event := event.(type) {
		case kernel.LinkUp:
			stands[event.Outbound] = stands[event.Outbound] || event.Host == host
		case kernel.LinkDown:
			stands[event.Outbound] = stands[event.Outbound] && event.Host != host
		}
	}
	return stands[true] || stands[false]
}

// received counts the messages from the host.
func (e *end) received(host id.Host) int {
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

func listen(t *testing.T, issuer *authority.Authority, host id.Host, address string) *end {
	t.Helper()
	e := &end{}
	transport, err := peer.Listen(address, keys(t, issuer, host), certificate.Identity{Host: host, Domain: "reduit"}, e.take)
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func frame(base uint64) *message.Frame {
	return &message.Frame{Body: &message.Frame_Want{Want: &message.Want{Base: base}}}
}

// sendUntil sends messages until the other end has one. A link that has lost
// against a crossing one drops what was queued on it.
func sendUntil(t *testing.T, from, to *end, fromHost, toHost id.Host) {
	t.Helper()
	before := to.received(fromHost)
	eventually(t, string(fromHost)+" reaches "+string(toHost), func() bool {
		from.Send(toHost, frame(1))
		time.Sleep(5 * time.Millisecond)
		return to.received(fromHost) > before
	})
}

// Guards against two hosts that dial each other at once and end with no link,
// or with one that each of them takes for another.
func TestCrossingDialsLeaveOneLink(t *testing.T) {
	is := is.New(t)
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	b := listen(t, issuer, "b", "127.0.0.1:0")
	defer b.Close()
	a.Dial("b", b.Address().String())
	b.Dial("a", a.Address().String())
	eventually(t, "a is linked", func() bool { return a.up("b") })
	sendUntil(t, a, b, "a", "b")
	sendUntil(t, b, a, "b", "a")
	is.True(a.up("b"))
	is.True(b.up("a"))
}

// Guards against a restarted host that its peer ignores until the peer has
// noticed the loss of the former process.
func TestRestartedHostIsLinkedAgain(t *testing.T) {
	issuer := newAuthority(t)
	a := listen(t, issuer, "a", "127.0.0.1:0")
	defer a.Close()
	b := listen(t, issuer, "b", "127.0.0.1:0")
	a.Dial("b", b.Address().String())
	eventually(t, "a is linked", func() bool { return a.up("b") })
	sendUntil(t, a, b, "a", "b")
	address := b.Address().String()
	b.Close()
	eventually(t, "a has seen the end", func() bool { return !a.up("b") })
	again := listen(t, issuer, "b", address)
	defer again.Close()
	again.Dial("a", a.Address().String())
	sendUntil(t, again, a, "b", "a")
	sendUntil(t, a, again, "a", "b")
}

// Guards against a link to a host that another authority has certified, or
// whose certificate names another host than was dialled.
func TestWrongIdentityGetsNoLink(t *testing.T) {
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
		return !stranger.up("a")
	})
	is.True(!a.up("b"))
	is.Equal(a.received("b"), 0)
}

// Guards against datagrams of other protocols that end the transport.
func TestGarbageIsIgnored(t *testing.T) {
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
