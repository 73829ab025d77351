package link_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/standin/link"
)

const readTimeout = 200 * time.Millisecond

func listenUDP(is *is.I) (*net.UDPConn, netip.AddrPort) {
	is.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// arrives reports whether a datagram arrives, and from where.
func arrives(conn *net.UDPConn) (netip.AddrPort, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	_, from, err := conn.ReadFromUDPAddrPort(make([]byte, 16))
	return from, err == nil
}

// Guards against a partition that passes datagrams in one direction, and against a
// Heal that does not end it.
func TestUDPRelayCutsBothDirections(t *testing.T) {
	is := is.New(t)
	network := link.New()
	defer func() { is.NoErr(network.Close()) }()
	caller, callerAt := listenUDP(is)
	daemon, daemonAt := listenUDP(is)
	spare, relayAt := listenUDP(is)
	is.NoErr(spare.Close())
	network.Register(callerAt, "a")
	is.NoErr(network.RelayUDP(relayAt, daemonAt, "b"))
	ask := func() (netip.AddrPort, bool) {
		_, err := caller.WriteToUDPAddrPort([]byte("ask"), relayAt)
		is.NoErr(err)
		return arrives(daemon)
	}
	answerTo, asked := ask()
	is.True(asked)
	answer := func() bool {
		_, err := daemon.WriteToUDPAddrPort([]byte("answer"), answerTo)
		is.NoErr(err)
		from, answered := arrives(caller)
		is.True(!answered || from == relayAt)
		return answered
	}
	is.True(answer())
	network.Partition("b", "a")
	_, asked = ask()
	is.True(!asked)
	is.True(!answer())
	network.Heal()
	_, asked = ask()
	is.True(asked)
	is.True(answer())
}

// Guards against a partition that closes streams or loses their bytes, which TCP
// retransmits after a partition.
func TestTCPRelayStallsAndResumes(t *testing.T) {
	is := is.New(t)
	network := link.New()
	defer func() { is.NoErr(network.Close()) }()
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(platform.Close()) }()
	spare, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	relayAt := spare.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(spare.Close())
	is.NoErr(network.RelayTCP(relayAt, platform.Addr().(*net.TCPAddr).AddrPort(), "a"))
	client, err := net.Dial("tcp", relayAt.String())
	is.NoErr(err)
	server, err := platform.Accept()
	is.NoErr(err)
	network.PartitionPlatform("a")
	_, err = client.Write([]byte("ask"))
	is.NoErr(err)
	buffer := make([]byte, 16)
	is.NoErr(server.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err = server.Read(buffer)
	is.True(err != nil)
	network.Heal()
	is.NoErr(server.SetReadDeadline(time.Now().Add(time.Second)))
	size, err := server.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:size]), "ask")
	is.Equal(network.PlatformBytes(), int64(3))
}
