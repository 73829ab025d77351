package capacity

import (
	"fmt"
	"net"
)

// ports hands out free ports. The range may lie within the system's ephemeral
// ports, so that other processes hold some of it.
type ports struct{ next, last int }

// portRange is the number of ports that a run looks through.
const portRange = 2900

func newPorts(first int) *ports { return &ports{next: first, last: first + portRange} }

// take returns ports that are free now, for TCP and UDP.
func (p *ports) take(count int) ([]int, error) {
	found := make([]int, 0, count)
	for ; p.next < p.last && len(found) < count; p.next++ {
		if portFree(p.next) {
			found = append(found, p.next)
		}
	}
	if len(found) < count {
		return nil, fmt.Errorf("too few free ports below %d: choose another first port", p.last)
	}
	return found, nil
}

func portFree(port int) bool {
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
	return true
}
