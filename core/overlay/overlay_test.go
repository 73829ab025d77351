package overlay_test

import (
	"fmt"
	"testing"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	_ "marjoramsaddle/core/overlay"

	"github.com/matryer/is"
)

const startedAt = id.Instant(1_700_000_000_000_000_000)

func newKernel(seeds ...kernel.Seed) *kernel.Kernel {
	self := endpoint.Entry{Host: "m", Domain: "d", Control: "m", Incarnation: 1, Sequence: 1}
	k := kernel.New(kernel.Environment{Self: self, Seeds: seeds})
	k.SharedState().Table.Merge(self)
	return k
}

func actionsOfType[T kernel.Action](actions []kernel.Action) []T {
	var found []T
	for _, action := range actions {
		if each, ok := action.(T); ok {
			found = append(found, each)
		}
	}
	return found
}

func linkUp(k *kernel.Kernel, at id.Instant, host id.Host, outbound bool) []kernel.Action {
	return k.Step(at, kernel.LinkUp{Host: host, Domain: "d", Outbound: outbound})
}

// Guards against both ends of a duplicate link closing different links.
func TestDuplicateLinks(t *testing.T) {
	for _, test := range []struct {
		peer           id.Host
		firstOutbound  bool
		closedOutbound bool
	}{
		{peer: "a", firstOutbound: true, closedOutbound: true},
		{peer: "a", firstOutbound: false, closedOutbound: true},
		{peer: "z", firstOutbound: true, closedOutbound: false},
		{peer: "z", firstOutbound: false, closedOutbound: false},
	} {
		is := is.New(t)
		k := newKernel()
		linkUp(k, startedAt, test.peer, test.firstOutbound)
		closed := actionsOfType[kernel.Hangup](linkUp(k, startedAt, test.peer, !test.firstOutbound))
		is.Equal(closed, []kernel.Hangup{{Host: test.peer, Outbound: test.closedOutbound}})
		k.Step(startedAt, kernel.LinkDown{Host: test.peer, Outbound: test.closedOutbound})
		is.Equal(k.SharedState().Links[test.peer].Outbound, !test.closedOutbound)
		k.Step(startedAt, kernel.LinkDown{Host: test.peer, Outbound: !test.closedOutbound})
		is.Equal(len(k.SharedState().Links), 0)
	}
}

// Guards against a burst of incoming links that displaces topology neighbours.
func TestFullHostKeepsNeighbours(t *testing.T) {
	is := is.New(t)
	k := newKernel()
	for index := range 16 {
		linkUp(k, startedAt, id.Host(fmt.Sprintf("stranger-%02d", index)), false)
	}
	refused := linkUp(k, startedAt, "stranger-16", false)
	is.Equal(len(actionsOfType[kernel.Hangup](refused)), 1)
	is.Equal(actionsOfType[kernel.Send](refused)[0].Frame.GetBusy() != nil, true)
	is.Equal(actionsOfType[kernel.Count](refused)[0].Label, "too_many_links")
	k.SharedState().Table.Merge(endpoint.Entry{Host: "n", Domain: "d", Control: "n", Incarnation: 1})
	k.Step(startedAt, kernel.Tick{})
	accepted := linkUp(k, startedAt, "n", false)
	is.Equal(actionsOfType[kernel.Hangup](accepted)[0].Host, id.Host("stranger-00"))
	is.Equal(actionsOfType[kernel.Send](accepted)[0].Frame.GetHello().GetHost(), "m")
	is.Equal(len(k.SharedState().Links), 16)
}

// Guards against dialling without backoff, and against a start that depends on the
// local failure domain.
func TestSeedsWithBackoff(t *testing.T) {
	is := is.New(t)
	k := newKernel(
		kernel.Seed{Host: "s", Domain: "d", Address: "s"},
		kernel.Seed{Host: "x", Domain: "e", Address: "x"},
		kernel.Seed{Host: "m", Domain: "d", Address: "m"},
	)
	dials := map[id.Host]int{}
	for at := startedAt; at < startedAt.Add(time.Minute); at = at.Add(50 * time.Millisecond) {
		for _, dial := range actionsOfType[kernel.Dial](k.Step(at, kernel.Tick{})) {
			dials[dial.Host]++
			k.Step(at, kernel.LinkDown{Host: dial.Host, Outbound: true})
		}
	}
	is.Equal(len(dials), 2)
	for _, host := range []id.Host{"s", "x"} {
		// Full jitter up to 5 s has a mean of 2.5 s, so about 24 dials a minute, and
		// more at the start, when the delays are shorter. The bounds are about half
		// and twice as many.
		is.True(dials[host] > 12 && dials[host] < 50)
	}
}

// Guards against a link that stays open after its peer has gone silent, and against a
// process that closes its links after its own pause.
func TestSilentLinkIsClosed(t *testing.T) {
	for _, test := range []struct {
		paused bool
		links  int
	}{{paused: false, links: 0}, {paused: true, links: 1}} {
		is := is.New(t)
		k := newKernel()
		k.Step(startedAt, kernel.Tick{})
		linkUp(k, startedAt, "a", false)
		k.Step(startedAt, kernel.Received{Host: "a", Frame: &message.Frame{Body: &message.Frame_Hello{
			Hello: &message.Hello{Host: "a", FailureDomain: "d"},
		}}})
		end := startedAt.Add(3100 * time.Millisecond)
		for at := startedAt; !test.paused && at < end; at = at.Add(50 * time.Millisecond) {
			k.Step(at, kernel.Tick{})
		}
		k.Step(end, kernel.Tick{})
		is.Equal(len(k.SharedState().Links), test.links)
	}
}
