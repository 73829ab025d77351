// Package control carries the daemons' own protocol. Each daemon sends a short
// beacon with its revision of the store and the load of its backend server to
// others at short intervals (UDP), and serves the changes of the store that it
// knows (HTTP over TCP). A daemon that hears of a newer revision than its own
// fetches the changes from the sender, so one daemon that reads the store
// brings all others up to date.
//
// Usage:
//
//	gossip := control.NewGossip(conn, control.GossipOptions{...})
//	go gossip.Receive()
//	gossip.Send(addresses)
//	http.Serve(listener, control.NewHandler(mirror))
package control

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
)

// maxBeacon is the size of the largest beacon accepted.
const maxBeacon = 1200

// Beacon is what a daemon tells of itself.
type Beacon struct {
	// Address is the control address of the sender.
	Address  string          `json:"address"`
	Domain   id.Domain       `json:"domain"`
	Revision mirror.Revision `json:"revision"`
	// StoreAgeMS is the time since the sender's copy was known to be current.
	StoreAgeMS int64            `json:"store_age_ms"`
	Load       placement.Report `json:"load"`
	// Boot tells two runs of a daemon apart.
	Boot uint64 `json:"boot"`
	// Sequence orders the beacons of one run.
	Sequence uint64 `json:"sequence"`
	// Received is when the beacon arrived.
	Received id.Instant `json:"-"`
}

// GossipOptions of a Gossip.
type GossipOptions struct {
	Self func() Beacon
	// Heard takes in the beacons of others.
	Heard func(Beacon)
	Now   func() id.Instant
	// Failed is told of beacons that cannot be read or sent.
	Failed func(error)
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

// Receive takes in beacons until the connection is closed.
func (g *Gossip) Receive() {
	buffer := make([]byte, maxBeacon)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.options.Failed(err)
			time.Sleep(receivePause)
			continue
		}
		var beacon Beacon
		if err := json.Unmarshal(buffer[:n], &beacon); err != nil {
			g.options.Failed(err)
			continue
		}
		beacon.Received = g.options.Now()
		beacon.Load.At = beacon.Received
		g.options.Heard(beacon)
	}
}

// receivePause keeps a socket that fails again and again from using up the
// processor.
const receivePause = 10 * time.Millisecond

// Send sends one beacon to each of the addresses.
func (g *Gossip) Send(addresses []string) {
	data, err := json.Marshal(g.options.Self())
	if err != nil {
		g.options.Failed(err)
		return
	}
	for _, address := range addresses {
		resolved, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.options.Failed(err)
			continue
		}
		if _, err := g.conn.WriteTo(data, resolved); err != nil {
			g.options.Failed(err)
		}
	}
}
