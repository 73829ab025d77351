// Package peer carries control messages between daemons. A link is one QUIC
// connection with one stream each way; both ends show their identity by
// certificate. Messages are protobuf, each with its length in front.
//
// The transport never blocks its user: each link has a bounded queue, and a
// peer that does not drain it loses the link. Links and messages arrive as
// kernel events.
//
// Usage:
//
//	transport, err := peer.Listen("127.0.0.1:7000", keys, self, sink)
//	transport.Dial("counter-reduit-2", "127.0.0.1:7010")
//	transport.Send("counter-reduit-2", frame)
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/io/certificate"
)

// protocol is the ALPN name of control links.
const protocol = "marjoramsaddle-control/1"

// The bounds of links.
const (
	// MaxMessageBytes bounds one control message.
	MaxMessageBytes = 8 << 20
	// queueLength is the number of messages that wait for a slow peer.
	queueLength = 512
	// dialTimeout bounds a handshake.
	dialTimeout = 2 * time.Second
	// idleTimeout ends a connection whose peer is gone. It is longer than the
	// three seconds after which the overlay hangs up by itself.
	idleTimeout = 10 * time.Second
	// writeTimeout ends a link whose peer has stopped reading.
	writeTimeout = time.Second
	// maxInbound bounds the connections that are accepted, so that a storm of
	// dialling peers can't use up the memory.
	maxInbound = 64
	// windowBytes bounds the data in flight on a link.
	windowBytes = 512 << 10
)

// Sink receives links and messages as events. It may block for a short time.
type Sink func(kernel.Event)

// Transport holds the links of one daemon on one UDP socket.
type Transport struct {
	keys     *certificate.Keys
	self     certificate.Identity
	sink     Sink
	socket   *countingConn
	quic     *quic.Transport
	listener *quic.Listener

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	// events keeps a change of links and its event in one order.
	events sync.Mutex

	mu      sync.Mutex
	links   map[id.Host]*link
	inbound int
}

// Listen opens the UDP socket and accepts links.
func Listen(address string, keys *certificate.Keys, self certificate.Identity, sink Sink) (*Transport, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: %w: check control_address", err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("peer: %w: free control_address or choose another", err)
	}
	t := &Transport{keys: keys, self: self, sink: sink, socket: &countingConn{PacketConn: socket}, links: map[id.Host]*link{}}
	t.quic = &quic.Transport{Conn: t.socket}
	t.listener, err = t.quic.Listen(keys.Server(protocol), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("peer: %w", err)
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wait.Add(1)
	go t.accept()
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     windowBytes,
		MaxStreamReceiveWindow:         windowBytes,
		InitialConnectionReceiveWindow: windowBytes,
		MaxConnectionReceiveWindow:     windowBytes,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the address of the socket.
func (t *Transport) Address() net.Addr { return t.socket.LocalAddr() }

// ByteCounts returns the bytes sent and received at the socket, without the headers
// of IP and UDP.
func (t *Transport) ByteCounts() (sent, received int64) {
	return t.socket.sent.Load(), t.socket.received.Load()
}

// Dial opens a link in the background. A LinkUp or LinkDown event follows. The
// host may be empty when it is not known.
func (t *Transport) Dial(host id.Host, address string) {
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		if err := t.dial(host, address); err != nil {
			t.sink(kernel.LinkDown{Host: host, Outbound: true})
		}
	}()
}

func (t *Transport) dial(host id.Host, address string) error {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	connection, err := t.quic.Dial(ctx, remote, t.keys.Client(host, protocol), quicConfig())
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		_ = connection.CloseWithError(closeFailed, "no stream")
		return fmt.Errorf("peer: %w", err)
	}
	return t.start(connection, stream, true)
}

func (t *Transport) accept() {
	defer t.wait.Done()
	for {
		connection, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		if !t.reserveInbound() {
			_ = connection.CloseWithError(closeBusy, "too many links")
			continue
		}
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			defer t.releaseInbound()
			t.serve(connection)
		}()
	}
}

func (t *Transport) reserveInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound >= maxInbound {
		return false
	}
	t.inbound++
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
}

// serve runs an accepted connection until it ends.
func (t *Transport) serve(connection *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	stream, err := connection.AcceptStream(ctx)
	cancel()
	if err == nil {
		err = t.start(connection, stream, false)
	}
	if err != nil {
		_ = connection.CloseWithError(closeFailed, "no link")
		return
	}
	<-connection.Context().Done()
}

// start registers the link and runs its reader and writer.
func (t *Transport) start(connection *quic.Conn, stream *quic.Stream, outbound bool) error {
	identity, err := certificate.IdentityOf(connection.ConnectionState().TLS)
	if err != nil {
		_ = connection.CloseWithError(closeIdentity, "wrong identity")
		return err
	}
	l := newLink(identity, connection, stream, outbound)
	if !t.announce(l) {
		_ = connection.CloseWithError(closeDuplicate, "duplicate link")
		return errDuplicate
	}
	t.wait.Add(2)
	go func() {
		defer t.wait.Done()
		l.write()
	}()
	go func() {
		defer t.wait.Done()
		l.read(t.sink)
		t.drop(l)
	}()
	return nil
}

var errDuplicate = errors.New("peer: a link to this host exists")

// announce registers the link and reports it.
func (t *Transport) announce(l *link) bool {
	t.events.Lock()
	defer t.events.Unlock()
	replaced, kept := t.register(l)
	if !kept {
		return false
	}
	if replaced != nil {
		t.sink(kernel.LinkDown{Host: replaced.peer.Host, Outbound: replaced.outbound})
	}
	t.sink(kernel.LinkUp{Host: l.peer.Host, Domain: l.peer.Domain, Outbound: l.outbound})
	return true
}

// register keeps one link to each host. Of two links that cross, both ends
// keep the one that the lexically smaller host has dialled. A link that has
// stood for longer than a handshake can take was not crossed: its peer has
// dialled again because it has lost the link, for example by a restart.
// It returns the link that l has replaced, and whether l was kept.
func (t *Transport) register(l *link) (replaced *link, kept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[l.peer.Host]
	if old != nil {
		crossed := time.Since(old.since) < dialTimeout
		if crossed && t.preferred(old) && !t.preferred(l) {
			return nil, false
		}
		old.close(closeDuplicate)
	}
	t.links[l.peer.Host] = l
	return old, true
}

func (t *Transport) preferred(l *link) bool {
	return l.outbound == (t.self.Host < l.peer.Host)
}

// drop removes the link and reports its end, unless another link to the same
// host has replaced it.
func (t *Transport) drop(l *link) {
	l.close(closeFailed)
	t.events.Lock()
	defer t.events.Unlock()
	t.mu.Lock()
	current := t.links[l.peer.Host] == l
	if current {
		delete(t.links, l.peer.Host)
	}
	t.mu.Unlock()
	if current {
		t.sink(kernel.LinkDown{Host: l.peer.Host, Outbound: l.outbound})
	}
}

// Send queues a message. A full queue ends the link.
func (t *Transport) Send(host id.Host, frame *message.Frame) {
	t.mu.Lock()
	l := t.links[host]
	t.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- frame:
	default:
		l.close(closeSlow)
	}
}

// Hangup ends the link to a host if it is the one of the given direction.
func (t *Transport) Hangup(host id.Host, outbound bool) {
	t.mu.Lock()
	l := t.links[host]
	t.mu.Unlock()
	if l != nil && l.outbound == outbound {
		l.close(closeUnwanted)
	}
}

// Close ends all links and the socket.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listener.Close()
	t.mu.Lock()
	for _, l := range t.links {
		l.close(closeStopping)
	}
	t.mu.Unlock()
	_ = t.quic.Close()
	_ = t.socket.Close()
	t.wait.Wait()
}
