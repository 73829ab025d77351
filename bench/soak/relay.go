package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a relay does to the bytes that pass it.
type mode struct {
	// delay is added to each piece of data.
	delay time.Duration
	// inward and outward stall the data to and from the program behind the relay.
	inward, outward bool
}

// pieceSize is how much a relay passes on at a time, and stallPoll how often a
// stalled connection looks whether it may go on.
const (
	pieceSize = 16 << 10
	stallPoll = 10 * time.Millisecond
)

// relay stands before an address of a program and passes connections on, as the
// mode allows.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[*relayed]struct{}
}

// relayed is one connection and its continuation.
type relayed struct {
	ends [2]net.Conn
	// silent is set when nothing more passes, without an end.
	silent bool
}

func newRelay(listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[*relayed]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	pair := &relayed{ends: [2]net.Conn{client, server}}
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

// copy passes one direction on. Both ends are closed after it.
func (r *relay) copy(pair *relayed, to io.Writer, from io.Reader, inward bool) {
	defer pair.close()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if !r.pass(pair, inward) {
			return
		}
		if _, failed := to.Write(piece[:n]); failed != nil || err != nil {
			return
		}
	}
}

// pass waits until data may go on, and reports false after the end.
func (r *relay) pass(pair *relayed, inward bool) bool {
	for waited := time.Duration(0); ; waited += stallPoll {
		r.mu.Lock()
		_, open := r.conns[pair]
		now, silent := r.mode, pair.silent
		r.mu.Unlock()
		stalled := silent || inward && now.inward || !inward && now.outward
		if !open || !stalled && waited >= now.delay {
			return open
		}
		time.Sleep(stallPoll)
	}
}

func (p *relayed) close() {
	for _, end := range p.ends {
		// A second close reports an error that says nothing.
		_ = end.Close()
	}
}

func (r *relay) set(to mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = to
}

// silence lets the open connections go silent for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		pair.silent = true
	}
}

// reset ends the open connections with a reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.conns {
		for _, end := range pair.ends {
			if conn, ok := end.(*net.TCPConn); ok {
				// Without lingering, closing resets the connection.
				_ = conn.SetLinger(0)
			}
		}
		pair.close()
		delete(r.conns, pair)
	}
}

func (r *relay) close() {
	// The listener's end is all that matters here.
	_ = r.listener.Close()
	r.reset()
}

// datagrams passes the beacons between the hosts on, each under the announced
// address of its sender.
type datagrams struct {
	w     *world
	conns []net.PacketConn
}

func newDatagrams(w *world) (*datagrams, error) {
	d := &datagrams{w: w}
	for _, h := range w.hosts {
		conn, err := net.ListenPacket("udp4", w.address(h.announced, portControl))
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

func (d *datagrams) receive(receiver int) {
	buffer := make([]byte, pieceSize)
	for {
		n, from, err := d.conns[receiver].ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for sender, h := range d.w.hosts {
			if from.String() != d.w.address(h.own, portControl) || sender == receiver || !d.open(sender, receiver) {
				continue
			}
			to, err := net.ResolveUDPAddr("udp4", d.w.address(d.w.hosts[receiver].own, portControl))
			if err == nil {
				// A lost datagram is part of the protocol.
				_, _ = d.conns[sender].WriteTo(buffer[:n], to)
			}
		}
	}
}

func (d *datagrams) open(sender, receiver int) bool {
	out, in := d.w.hosts[sender].control.current(), d.w.hosts[receiver].control.current()
	return !out.outward && !in.inward
}

func (r *relay) current() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (d *datagrams) close() {
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}
