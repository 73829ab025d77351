package spread_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/reader"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/spread"
)

// Guards against a start that never serves and a change that stays behind.
func TestVersionReachesAll(t *testing.T) {
	for strategy := kernel.Delta; strategy <= kernel.Poll; strategy++ {
		t.Run(strategy.String(), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, 1)
			n.release(5)
			n.mesh(kernel.Options{Strategy: strategy}, "a1", "a2", "a3", "b1", "b2", "b3")
			n.run(4 * time.Second)
			is.True(n.converged(5))
			n.release(6)
			n.run(100 * time.Millisecond) // well below the witness limit of 400 ms
			is.True(n.converged(6))
			is.Equal(n.faults, nil)
		})
	}
}

// Guards against a restarted host that runs an older version which a stale
// platform returns before the neighbours with memory answer.
func TestRestartWithStalePlatform(t *testing.T) {
	run := func(options kernel.Options) *network {
		n := newNetwork(t, 2)
		n.release(5)
		n.mesh(options, "a1", "a2", "a3")
		n.run(4 * time.Second)
		n.release(6)
		n.run(time.Second)
		n.stop("a1")
		n.stop("a3")
		n.serving, n.consistent = 5, false
		n.start("a1", options, true)
		n.start("a3", options, true)
		n.link("a1", "a3") // a3 has no memory either
		n.run(1500 * time.Millisecond)
		n.link("a1", "a2")
		n.run(3 * time.Second)
		return n
	}
	is := is.New(t)
	guarded := run(kernel.Options{})
	is.Equal(guarded.faults, nil)
	is.True(guarded.converged(6))
	is.True(len(run(kernel.Options{NoFloor: true}).faults) > 0)
}

// Guards against a version that only the stopped host held: without witnesses
// no neighbour can hold the restarted host to it.
func TestWitnessesBeforeForce(t *testing.T) {
	run := func(options kernel.Options) *network {
		n := newNetwork(t, 3)
		n.release(5)
		n.mesh(options, "a1", "a2", "a3")
		n.run(4 * time.Second)
		n.drop = func(from, _ id.Host, frame *message.Frame) bool { return from == "a1" && frame.GetHello() == nil }
		for _, host := range []id.Host{"a2", "a3"} {
			n.nodes[host].watch = false // only a1 hears of the next version
		}
		n.release(6)
		n.run(300 * time.Millisecond)
		n.stop("a1")
		n.serving, n.drop = 5, func(id.Host, id.Host, *message.Frame) bool { return false }
		n.start("a1", options, true)
		n.link("a1", "a2")
		n.link("a1", "a3")
		n.run(3 * time.Second)
		return n
	}
	is := is.New(t)
	is.Equal(run(kernel.Options{}).faults, nil)
	is.True(len(run(kernel.Options{NoWitness: true}).faults) > 0)
}

// Guards against an index of the platform that goes back while the fleet runs.
func TestPlatformGoesBack(t *testing.T) {
	run := func(options kernel.Options) *network {
		n := newNetwork(t, 4)
		n.release(5)
		n.mesh(options, "a1", "a2", "a3")
		n.run(4 * time.Second)
		n.release(6)
		n.run(time.Second)
		n.serve(5)
		n.run(time.Second)
		return n
	}
	is := is.New(t)
	guarded := run(kernel.Options{})
	is.Equal(guarded.faults, nil)
	ignored := 0
	for _, node := range guarded.nodes {
		ignored += node.counts[reader.CountIndexBelow]
	}
	is.True(ignored > 0)
	is.True(len(run(kernel.Options{AcceptOlder: true}).faults) > 0)
}

// Guards against a bad version that comes into force in part, and against a
// refusal that stays unknown to the hosts that do not read.
func TestBadVersionIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 5)
	n.release(5)
	n.mesh(kernel.Options{}, "a1", "a2", "a3", "a4")
	n.run(4 * time.Second)
	n.publish(6, services(6), routes(6, "absent"))
	n.serve(6)
	n.run(2 * time.Second)
	is.True(n.converged(5))
	for _, node := range n.nodes {
		is.Equal(node.kernel.Shared().Refused, id.Version(6))
		is.True(node.kernel.Shared().RefusedReason != "")
	}
	n.release(7) // the next good version passes the bad one
	n.run(time.Second)
	is.True(n.converged(7))
	is.Equal(n.faults, nil)
}

// Guards against a dangling route when validation at the reader is off: the
// view is checked again before it comes into force, and neighbours validate
// what they are sent. The checker of these tests does see such a view.
func TestBadVersionWithoutValidation(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 6)
	n.release(5)
	n.mesh(kernel.Options{}, "a1", "a2", "a3")
	n.run(4 * time.Second)
	bad := unchecked(6, routes(6, "absent"))
	n.step("a1", n.nodes["a1"], reader.VersionRead{Snapshot: bad})
	n.run(2 * time.Second)
	is.True(n.converged(5))
	is.Equal(n.faults, nil)
	is.True(len(n.check("a1", kernel.Publish{View: bad.View("a1"), Snapshot: bad})) > 0)
}

// Guards against two publications that cross: the manifest of the second
// arrives while the parts of the first are read, and readers differ in what
// they see first.
func TestCrossingPublications(t *testing.T) {
	run := func(options kernel.Options) *network {
		n := newNetwork(t, 7)
		n.release(5)
		n.mesh(options, "a1", "a2", "b1", "b2")
		n.run(4 * time.Second)
		n.publish(6, services(6), routes(6, "counter"))
		n.publish(7, services(7), routes(7, "counter"))
		n.serving = 7
		for _, host := range []id.Host{"a1", "b1"} {
			n.answer(host, 7)
		}
		n.run(6 * time.Millisecond)
		n.serving = 6 // a replica of the platform that lags
		for _, host := range []id.Host{"a1", "a2", "b1", "b2"} {
			n.answer(host, 6)
		}
		n.run(100 * time.Millisecond)
		n.serve(7)
		n.run(2 * time.Second)
		return n
	}
	is := is.New(t)
	guarded := run(kernel.Options{})
	is.Equal(guarded.faults, nil)
	is.True(guarded.converged(7))
	is.True(len(run(kernel.Options{AcceptOlder: true}).faults) > 0)
}

// Guards against a lost push that leaves a host behind: the next heartbeat
// shows the version and the host asks for it.
func TestLostPushIsRepaired(t *testing.T) {
	run := func(heartbeats bool) *network {
		n := newNetwork(t, 8)
		n.release(5)
		n.start("a1", kernel.Options{}, true)
		for _, host := range []id.Host{"a2", "a3"} {
			n.start(host, kernel.Options{}, false)
			n.link("a1", host)
		}
		n.run(6 * time.Second)
		dropped := 0
		n.drop = func(_, to id.Host, frame *message.Frame) bool {
			if push := frame.GetPush(); push != nil && to == "a2" && dropped == 0 {
				dropped++
				return true
			}
			return !heartbeats && frame.GetHeartbeat() != nil
		}
		n.release(6)
		n.run(1300 * time.Millisecond) // a heartbeat, the delay of 150 ms and two hops
		return n
	}
	is := is.New(t)
	is.True(run(true).converged(6))
	is.Equal(run(false).nodes["a2"].inForce, id.Version(5))
}

// Guards against a paused host that serves its old version after it resumes.
// A pause below the limit is not seen, which shows that the check can fail.
func TestPausedDaemonResyncs(t *testing.T) {
	run := func(pause time.Duration) (readyAfter kernel.Readiness, n *network) {
		n = newNetwork(t, 9)
		n.release(5)
		n.mesh(kernel.Options{}, "a1", "a2", "a3", "a4")
		n.run(4 * time.Second)
		paused := n.nodes["a4"]
		paused.paused = true
		n.run(pause / 2)
		n.drop = func(_, to id.Host, _ *message.Frame) bool { return to == "a4" }
		paused.watch = false
		n.release(6)
		n.run(pause / 2)
		n.drop = func(id.Host, id.Host, *message.Frame) bool { return false }
		n.resume("a4")
		n.run(kernel.TickInterval)
		return paused.ready, n
	}
	is := is.New(t)
	ready, n := run(4 * time.Second)
	paused := n.nodes["a4"]
	is.Equal(paused.counts[spread.CountResync], 1)
	is.True(ready == kernel.Resyncing || paused.inForce == 6)
	n.run(200 * time.Millisecond)
	is.Equal(paused.ready, kernel.Serving)
	is.Equal(paused.inForce, id.Version(6))
	is.Equal(n.faults, nil)

	ready, n = run(1800 * time.Millisecond)
	is.Equal(ready, kernel.Serving)
	is.Equal(n.nodes["a4"].inForce, id.Version(5))
}

// Guards against a mass restart that overloads the host that answers.
func TestFullTransfersAreBounded(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 10)
	n.release(5)
	n.start("a0", kernel.Options{}, true)
	n.run(4 * time.Second)
	n.serving = 0
	sent := 0
	n.drop = func(from, _ id.Host, frame *message.Frame) bool {
		if from == "a0" && frame.GetPush() != nil {
			sent++
		}
		return false
	}
	for index := range 60 {
		host := id.Host("a" + string(rune('A'+index)))
		n.start(host, kernel.Options{}, false)
		n.link(host, "a0")
	}
	n.run(3 * time.Millisecond) // the wants have arrived, no transfer is confirmed
	is.Equal(sent, 32)
	n.run(4 * time.Second)
	is.True(n.converged(5))
	is.True(n.nodes["a0"].counts[spread.CountBusy] > 0)
}

// Guards against a delta without its base: the receiver asks for the full
// snapshot and does not guess.
func TestUnknownBaseAsksForFull(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 11)
	n.release(5)
	n.mesh(kernel.Options{}, "a1", "a2")
	n.run(4 * time.Second)
	six, seven := unchecked(6, services(6)), unchecked(7, services(7))
	delta, err := snapshot.Between(six, seven)
	is.NoErr(err)
	var wanted *message.Want
	n.drop = func(_, _ id.Host, frame *message.Frame) bool {
		if want := frame.GetWant(); want != nil {
			wanted = want
		}
		return false
	}
	n.step("a1", n.nodes["a1"], kernel.Received{Host: "a2", Frame: &message.Frame{Body: &message.Frame_Push{
		Push: &message.Push{Version: 7, Digest: delta.Digest[:], Base: 6, Payload: delta.Payload},
	}}})
	is.True(wanted != nil)
	is.Equal(wanted.GetBase(), uint64(0))
	is.Equal(n.nodes["a1"].inForce, id.Version(5))
}
