package sidecar

import (
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/shutdown"
)

// Guards against a stop that ends while a request is in progress, and against log lines
// that do not say where the requests come from that it cuts off.
func TestActiveRequestsAreCountedByOrigin(t *testing.T) {
	is := is.New(t)
	var active activeRequests
	endCall := active.begin(shutdown.Call)
	endPeer := active.begin(shutdown.Peer)
	is.Equal(active.total(), int64(2))
	is.Equal(len(active.fields()), 1+int(shutdown.OriginCount))
	endPeer()
	is.Equal(active.total(), int64(1))
	is.Equal(active[shutdown.Call].Load(), int64(1))
	endCall()
	is.Equal(active.total(), int64(0))
}
