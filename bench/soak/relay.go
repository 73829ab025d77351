package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// mode says how a relay delays or stalls the data that it forwards.
type mode struct {
	// delay is added to each chunk of data.
	delay time.Duration
	// inward and outward stall the data to and from the relay's target.
	inward, outward bool
}

// chunkSize is the maximum number of bytes that a relay forwards at a time, and
// stallPollInterval the interval at which a stalled connection checks the mode.
const (
	chunkSize         = 16 << 10
	stallPollInterval = 10 * time.Millisecond
)

// relay is a TCP proxy in front of a target address. Its mode can be changed while
// connections are open.
type relay struct {
	listener net.Listener
	target   string
	dialer   net.Dialer
	// onError is called when the relay cannot forward a connection for want of resources.
	onError func(error)

	mu    sync.Mutex
	mode  mode
	conns map[*relayedConn]struct{}
	// usedAt is when data last went to the target.
	usedAt time.Time
}

// relayedConn holds both connections of a relayed stream.
type relayedConn struct {
	ends [2]net.Conn
	// silent stops all data for good and leaves the connections open.
	silent bool
}

// newRelay returns a relay that connects to the target from the IP address source.
func newRelay(listen, target, source string, onError func(error)) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener: listener, target: target, onError: onError, conns: map[*relayedConn]struct{}{},
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}},
	}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.onError(err)
			time.Sleep(stallPollInterval)
			continue
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(client net.Conn) {
	server, err := r.dialer.Dial("tcp", r.target)
	if err != nil {
		if errors.Is(err, unix.EMFILE) {
			r.onError(err)
		}
		_ = client.Close()
		return
	}
	pair := &relayedConn{ends: [2]net.Conn{client, server}}
	r.mu.Lock()
	r.conns[pair] = struct{}{}
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(pair, server, client, true) })
	copies.Go(func() { r.copy(pair, client, server, false) })
	copies.Wait()
	r.mu.Lock()
	delete(r.conns, pair)
	r.mu.Unlock()
}

// copy forwards one direction. It closes both connections when it returns.
func (r *relay) copy(pair *relayedConn, to io.Writer, from io.Reader, inward bool) {
	defer pair.close()
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if !r.awaitPassage(pair, inward) {
			return
		}
		if inward && n > 0 {
			r.recordUse()
		}
		if _, failed := to.Write(chunk[:n]); failed != nil || err != nil {
			return
		}
	}
}

// awaitPassage waits until the mode lets data pass. It reports false if the stream was
// reset meanwhile.
func (r *relay) awaitPassage(pair *relayedConn, inward bool) bool {
	for waited := time.Duration(0); ; waited += stallPollInterval {
		r.mu.Lock()
		_, open := r.conns[pair]
		now, silent := r.mode, pair.silent
		r.mu.Unlock()
		stalled := silent || inward && now.inward || !inward && now.outward
		if !open || !stalled && waited >= now.delay {
			return open
		}
		time.Sleep(stallPollInterval)
	}
}

func (r *relay) recordUse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedAt = time.Now()
}

// lastUse returns when data last went to the target.
func (r *relay) lastUse() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usedAt
}

// usedWithin reports whether data went to the target in the given time before now.
func (r *relay) usedWithin(before time.Duration) bool { return time.Since(r.lastUse()) <= before }

func (p *relayedConn) close() {
	for _, end := range p.ends {
		// Both directions close the connections, so the second close fails.
		_ = end.Close()
	}
}

func (r *relay) set(to mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = to
}

// silence stops all data of the open connections for good without closing them.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		pair.silent = true
	}
}

// reset closes the open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		for _, end := range pair.ends {
			if conn, ok := end.(*net.TCPConn); ok {
				// With a linger time of 0, Close sends a reset.
				_ = conn.SetLinger(0)
			}
		}
		pair.close()
		delete(r.conns, pair)
	}
}

func (r *relay) close() {
	// An error of a listener that is no longer needed has no consequences.
	_ = r.listener.Close()
	r.reset()
}

// datagramRelay forwards control datagrams between the hosts, each from the advertised
// address of its sender.
type datagramRelay struct {
	w     *world
	conns []net.PacketConn
	// senders holds the index of each host by the address from which it sends.
	senders map[string]int
}

func newDatagramRelay(w *world) (*datagramRelay, error) {
	d := &datagramRelay{w: w, senders: map[string]int{}}
	for i, h := range w.hosts {
		d.senders[w.address(h.localIP, portControl)] = i
		conn, err := net.ListenPacket("udp4", w.address(h.advertisedIP, portControl))
		if err != nil {
			return nil, err
		}
		d.conns = append(d.conns, conn)
	}
	for receiver := range d.conns {
		go d.receive(receiver)
	}
	return d, nil
}

func (d *datagramRelay) receive(receiver int) {
	buffer := make([]byte, chunkSize)
	for {
		n, from, err := d.conns[receiver].ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		sender, known := d.senders[from.String()]
		if !known || sender == receiver || !d.isOpen(sender, receiver) {
			continue
		}
		to, err := net.ResolveUDPAddr("udp4", d.w.address(d.w.hosts[receiver].localIP, portControl))
		if err == nil {
			// A failed write equals a lost datagram, which the protocol tolerates.
			_, _ = d.conns[sender].WriteTo(buffer[:n], to)
		}
	}
}

func (d *datagramRelay) isOpen(sender, receiver int) bool {
	from, to := d.w.hosts[sender], d.w.hosts[receiver]
	return !from.control.current().outward && !to.control.current().inward && !d.w.partition.separates(from, to)
}

func (r *relay) current() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (d *datagramRelay) close() {
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}
