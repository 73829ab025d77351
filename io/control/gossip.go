// Package control carries the daemons' own protocol. Each daemon sends a short
// beacon with its revision of the store and the load of its backend server to
// some others at short intervals (UDP), together with the latest loads that it
// has heard, and serves the changes of the store that it
// knows (HTTP over TCP). A daemon that hears of a newer revision than its own
// fetches the changes from the sender, so one daemon that reads the store
// brings all others up to date.
//
// Usage:
//
//	gossip := control.NewGossip(conn, control.GossipOptions{...})
//	go gossip.Receive()
//	gossip.Send(addresses, &control.News{Period: period})
//	http.Serve(listener, control.NewHandler(mirror))
package control

import (
	"errors"
	"net"
	"time"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
)

// GossipOptions of a Gossip.
type GossipOptions struct {
	// Self returns what this daemon tells of itself.
	Self func() Beacon
	// OnBeacon takes in the beacons of others.
	OnBeacon func(*Beacon)
	Now      func() id.Instant
	// OnError is told of beacons that cannot be read or sent.
	OnError func(error)
}

// Gossip sends and receives beacons.
type Gossip struct {
	conn    net.PacketConn
	options GossipOptions
}

// NewGossip returns a gossip over the connection.
func NewGossip(conn net.PacketConn, options GossipOptions) *Gossip {
	return &Gossip{conn: conn, options: options}
}

// receivePause keeps a socket that fails again and again from using up the
// processor.
const receivePause = 10 * time.Millisecond

// Receive takes in beacons until the connection is closed.
func (g *Gossip) Receive() {
	buffer := make([]byte, maxBeacon)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.options.OnError(err)
			time.Sleep(receivePause)
			continue
		}
		if err := contain.Panics(func() error { return g.take(buffer[:n], from) }); err != nil {
			g.options.OnError(err)
		}
	}
}

// take hands a beacon to its receiver.
func (g *Gossip) take(data []byte, from net.Addr) error {
	beacon, err := decodeBeacon(data, g.options.Now())
	if err != nil {
		return err
	}
	beacon.Address = from.String()
	g.options.OnBeacon(&beacon)
	return nil
}

// Piggyback is what goes to some daemons in one round beside the sender's own state.
type Piggyback struct {
	// Period is the time in which each receiver gets a beacon; zero leaves the
	// one that was told before as it is.
	Period time.Duration
	// Near and Far are loads that others have told.
	Near, Far []placement.Report
	Readers   []Reader
}

// Send sends one beacon to each of the addresses.
func (g *Gossip) Send(addresses []string, news *Piggyback) {
	if len(addresses) == 0 {
		return
	}
	beacon := g.options.Self()
	beacon.Period, beacon.Near, beacon.Far, beacon.Readers = news.Period, news.Near, news.Far, news.Readers
	data := encodeBeacon(&beacon, g.options.Now())
	for _, address := range addresses {
		resolved, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.options.OnError(err)
			continue
		}
		if _, err := g.conn.WriteTo(data, resolved); err != nil {
			g.options.OnError(err)
		}
	}
}
