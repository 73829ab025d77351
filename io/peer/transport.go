// Package peer carries control messages between daemons. A link is one QUIC
// connection with one bidirectional stream. Both ends authenticate by mutual
// TLS. Messages are protobuf, each prefixed with its length.
//
// Dial and Send never block: each link has a bounded send queue, and a link
// whose queue is full is closed. Links and messages are reported as kernel
// events. There is at most one link to each host.
//
// # Usage
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

// alpnProtocol is the ALPN protocol name of control links.
const alpnProtocol = "marjoramsaddle-control/1"

// The limits of links.
const (
	// MaxMessageBytes bounds the encoded size of one control message.
	MaxMessageBytes = 8 << 20
	// sendQueueLength is the number of messages that may be queued for a slow peer.
	sendQueueLength = 512
	// dialTimeout bounds a QUIC handshake and the opening of the stream.
	dialTimeout = 2 * time.Second
	// idleTimeout closes a connection whose peer is gone. It is longer than the
	// three seconds after which the overlay itself closes a silent link.
	idleTimeout = 10 * time.Second
	// writeTimeout bounds the write of a batch and so closes a link whose peer has
	// stopped reading.
	writeTimeout = time.Second
	// maxInbound bounds the accepted connections, so that many peers that dial at
	// once can't exhaust the memory.
	maxInbound = 64
	// flowWindowBytes is the flow control window of a link, which bounds its data in
	// flight.
	flowWindowBytes = 512 << 10
)

// Sink receives link changes and messages as kernel events, from several
// goroutines. It may block for a short time.
type Sink func(kernel.Event)

// Transport manages the links of one daemon, all on one UDP socket. Its methods
// may be called from several goroutines.
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

	// eventOrder is held while a link is added or removed and reported, so that
	// events arrive in the order of the changes.
	eventOrder sync.Mutex

	mu      sync.Mutex
	links   map[id.Host]*link
	inbound int
}

// Listen opens a UDP socket on the address and accepts links in the background
// until Close.
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
	t.listener, err = t.quic.Listen(keys.Server(alpnProtocol), quicConfig())
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
		InitialStreamReceiveWindow:     flowWindowBytes,
		MaxStreamReceiveWindow:         flowWindowBytes,
		InitialConnectionReceiveWindow: flowWindowBytes,
		MaxConnectionReceiveWindow:     flowWindowBytes,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the address of the socket.
func (t *Transport) Address() net.Addr { return t.socket.LocalAddr() }

// ByteCounts returns the bytes sent and received on the socket, without IP and
// UDP headers.
func (t *Transport) ByteCounts() (sent, received int64) {
	return t.socket.sent.Load(), t.socket.received.Load()
}

// Dial opens a link in the background. A LinkUp or LinkDown event follows. An
// empty host accepts any host with a valid certificate.
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
	connection, err := t.quic.Dial(ctx, remote, t.keys.Client(host, alpnProtocol), quicConfig())
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		_ = connection.CloseWithError(closeFailed, "no stream")
		return fmt.Errorf("peer: %w", err)
	}
	return t.startLink(connection, stream, true)
}

// accept serves inbound connections, at most maxInbound at once.
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

// serve runs an accepted connection until it is closed.
func (t *Transport) serve(connection *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	stream, err := connection.AcceptStream(ctx)
	cancel()
	if err == nil {
		err = t.startLink(connection, stream, false)
	}
	if err != nil {
		_ = connection.CloseWithError(closeFailed, "no link")
		return
	}
	<-connection.Context().Done()
}

// startLink checks the peer's identity, adds the link and starts its reader and
// writer.
func (t *Transport) startLink(connection *quic.Conn, stream *quic.Stream, outbound bool) error {
	identity, err := certificate.IdentityOf(connection.ConnectionState().TLS)
	if err != nil {
		_ = connection.CloseWithError(closeIdentity, "wrong identity")
		return err
	}
	l := newLink(identity, connection, stream, outbound)
	if !t.addLink(l) {
		_ = connection.CloseWithError(closeDuplicate, "duplicate link")
		return errDuplicateLink
	}
	t.wait.Add(2)
	go func() {
		defer t.wait.Done()
		l.writeLoop()
	}()
	go func() {
		defer t.wait.Done()
		l.readLoop(t.sink)
		t.removeLink(l)
	}()
	return nil
}

var errDuplicateLink = errors.New("peer: duplicate link to the host")

// addLink adds the link and reports it to the sink. It returns false if an
// existing link to the host is kept instead.
func (t *Transport) addLink(l *link) bool {
	t.eventOrder.Lock()
	defer t.eventOrder.Unlock()
	replaced, kept := t.replaceLink(l)
	if !kept {
		return false
	}
	if replaced != nil {
		t.sink(kernel.LinkDown{Host: replaced.peer.Host, Outbound: replaced.outbound})
	}
	t.sink(kernel.LinkUp{Host: l.peer.Host, Domain: l.peer.Domain, Outbound: l.outbound})
	return true
}

// replaceLink keeps one link to each host. If both ends dial at the same time,
// both keep the link dialled by the host with the lexically smaller name. If the
// existing link is older than a handshake can take, the peer has lost it, for
// example by a restart, and l replaces it. It returns the replaced link, if any,
// and whether l was kept.
func (t *Transport) replaceLink(l *link) (replaced *link, kept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[l.peer.Host]
	if old != nil {
		crossed := time.Since(old.startedAt) < dialTimeout
		if crossed && t.isPreferred(old) && !t.isPreferred(l) {
			return nil, false
		}
		old.close(closeDuplicate)
	}
	t.links[l.peer.Host] = l
	return old, true
}

// isPreferred reports whether the host with the lexically smaller name has dialled
// the link.
func (t *Transport) isPreferred(l *link) bool {
	return l.outbound == (t.self.Host < l.peer.Host)
}

// removeLink closes and removes the link and reports it as down, unless another
// link to the same host has replaced it.
func (t *Transport) removeLink(l *link) {
	l.close(closeFailed)
	t.eventOrder.Lock()
	defer t.eventOrder.Unlock()
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

// Send queues a message. Without a link to the host the message is dropped. A
// full queue closes the link.
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

// Hangup closes the link to a host if it has the given direction.
func (t *Transport) Hangup(host id.Host, outbound bool) {
	t.mu.Lock()
	l := t.links[host]
	t.mu.Unlock()
	if l != nil && l.outbound == outbound {
		l.close(closeUnwanted)
	}
}

// Close closes all links and the socket and waits for all goroutines.
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
