package converge

import (
	"net"
	"net/netip"
)

// ports hands out free ports on loopback.
type ports struct{ next int }

func (p *ports) take() netip.AddrPort {
	for !free(p.next) {
		p.next++
	}
	taken := address(p.next)
	p.next++
	return taken
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// free reports whether a port can be bound for TCP and UDP.
func free(port int) bool {
	listener, err := net.Listen("tcp", address(port).String())
	if err != nil {
		return false
	}
	_ = listener.Close()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address(port)))
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
