package capacity

import (
	"fmt"
	"net"
)

// ports hands out blocks of free ports. The range may lie within the system's
// ephemeral ports, so that other processes hold some of it for a short time.
type ports struct{ next, last int }

// portBlocks is the number of blocks that a run looks through.
const portBlocks = 58

func newPorts(first int) *ports { return &ports{next: first, last: first + portBlocks*portsPerRun} }

// block returns the first port of a block that is free now.
func (p *ports) block() (int, error) {
	for p.next < p.last {
		first := p.next
		p.next += portsPerRun
		if blockFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no block of %d free ports below %d: choose another first port", portsPerRun, p.last)
}

func blockFree(first int) bool {
	for port := first; port < first+portsPerRun; port++ {
		stream, err := net.Listen("tcp", address(port))
		if err != nil {
			return false
		}
		_ = stream.Close()
		datagram, err := net.ListenPacket("udp", address(port))
		if err != nil {
			return false
		}
		_ = datagram.Close()
	}
	return true
}
