// Package control implements the daemons' own protocol. Each daemon periodically
// sends a beacon (UDP) to some others, with its revision of the store, the load of
// its backend server and the latest load reports that it has received. It also serves
// the changes of the store that it knows (HTTP over TCP).
//
// A daemon that learns of a newer revision fetches the changes from the sender, so
// one daemon that reads the store brings all others up to date.
//
// # Usage
//
//	gossip := control.NewGossip(conn, control.GossipOptions{...})
//	go gossip.Receive()
//	gossip.Send(addresses, &control.Piggyback{Period: period})
//	http.Serve(listener, control.NewHandler(mirror, storeAge))
package control

import (
	"errors"
	"net"
	"time"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
)

// GossipOptions configures a Gossip.
type GossipOptions struct {
	// Self returns this daemon's own state, which Send puts into beacons.
	Self func() Beacon
	// OnBeacon is called for each beacon received.
	OnBeacon func(*Beacon)
	Now      func() id.Instant
	// OnError is called for beacons that cannot be decoded, handled or sent.
	OnError func(error)
}

// Gossip sends and receives beacons.
type Gossip struct {
	conn    net.PacketConn
	options GossipOptions
}

// NewGossip returns a Gossip that uses the connection.
func NewGossip(conn net.PacketConn, options GossipOptions) *Gossip {
	return &Gossip{conn: conn, options: options}
}

// receiveErrorDelay keeps a socket that fails repeatedly from using up the processor.
const receiveErrorDelay = 10 * time.Millisecond

// Receive handles incoming beacons until the connection is closed.
func (g *Gossip) Receive() {
	buffer := make([]byte, maxBeaconBytes)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.options.OnError(err)
			time.Sleep(receiveErrorDelay)
			continue
		}
		if err := contain.Panics(func() error { return g.handleDatagram(buffer[:n], from) }); err != nil {
			g.options.OnError(err)
		}
	}
}

// handleDatagram decodes a beacon and passes it to OnBeacon.
func (g *Gossip) handleDatagram(data []byte, from net.Addr) error {
	beacon, err := decodeBeacon(data, g.options.Now())
	if err != nil {
		return err
	}
	beacon.Address = from.String()
	g.options.OnBeacon(&beacon)
	return nil
}

// Piggyback is what a beacon carries besides the sender's own state.
type Piggyback struct {
	// Period is the interval at which each receiver gets a beacon; zero leaves the
	// previously announced interval in place.
	Period time.Duration
	// Near and Far are load reports received from other daemons.
	Near, Far []placement.Report
	// Readers are the daemons that have read the store most recently.
	Readers []Reader
}

// Send sends one beacon to each of the addresses.
func (g *Gossip) Send(addresses []string, piggyback *Piggyback) {
	if len(addresses) == 0 {
		return
	}
	beacon := g.options.Self()
	beacon.Period, beacon.Near, beacon.Far, beacon.Readers = piggyback.Period, piggyback.Near, piggyback.Far, piggyback.Readers
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
