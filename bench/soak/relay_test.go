package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// exhaustedListener fails once for want of file descriptors and is then closed.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed {
		return nil, net.ErrClosed
	}
	l.failed = true
	return nil, unix.EMFILE
}

// Guards against a soak that blames daemons for connections that its own relays have
// dropped, after it ran out of file descriptors.
func TestRelayReportsFailedConnections(t *testing.T) {
	is := is.New(t)
	var w world
	r := &relay{listener: &exhaustedListener{}, onError: w.relayFailed}
	r.accept()
	is.Equal(*w.relayError.Load(), error(unix.EMFILE))
}
