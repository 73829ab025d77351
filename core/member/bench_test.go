package member_test

import (
	"fmt"
	"testing"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
)

// newBenchKernel returns the kernel of a host with a full table and six links.
func newBenchKernel(domains int) (*kernel.Kernel, id.Instant, []id.Host) {
	self := testEntry(0, 0)
	self.Incarnation = id.Incarnation(startedAt)
	k := kernel.New(kernel.Environment{Self: self})
	for domain := range domains {
		for host := range 450 {
			if entry := testEntry(domain, host); entry.Host != self.Host {
				entry.Incarnation, entry.Sequence = 1, 1
				k.SharedState().Table.Merge(entry)
			}
		}
	}
	at := startedAt
	k.Step(at, kernel.Tick{})
	peers := make([]id.Host, 0, 6)
	for _, peer := range k.SharedState().Topology.Dial {
		peers = append(peers, peer.Host)
	}
	peers = append(peers, k.SharedState().Topology.Accept...)
	for _, peer := range peers {
		k.Step(at, kernel.LinkUp{Host: peer, Domain: "domain-0"})
		k.Step(at, kernel.Received{Host: peer, Frame: &message.Frame{Body: &message.Frame_Hello{
			Hello: &message.Hello{FailureDomain: "domain-0", TableDigest: k.SharedState().Table.Digest()},
		}}})
	}
	return k, at, peers
}

func sendHeartbeat(k *kernel.Kernel, at id.Instant, peer id.Host) {
	k.Step(at, kernel.Received{Host: peer, Frame: &message.Frame{Body: &message.Frame_Heartbeat{
		Heartbeat: &message.Heartbeat{TableDigest: k.SharedState().Table.Digest()},
	}}})
}

// BenchmarkTick measures ticks of an idle kernel and ticks after a table change.
func BenchmarkTick(b *testing.B) {
	for _, domains := range []int{1, 12} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/churn=%v", 450*domains, churn), func(b *testing.B) {
				k, at, peers := newBenchKernel(domains)
				changedEntry, _ := k.SharedState().Table.Get(testEntry(domains-1, 449).Host)
				for b.Loop() {
					at = at.Add(50 * time.Millisecond)
					if churn {
						changedEntry.Sequence++
						k.Step(at, kernel.Received{Host: peers[0], Frame: message.NewEntriesFrame([]endpoint.Entry{changedEntry})})
					}
					k.Step(at, kernel.Tick{})
					b.StopTimer()
					for _, peer := range peers {
						sendHeartbeat(k, at, peer)
					}
					b.StartTimer()
				}
			})
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, domains := range []int{1, 12} {
		b.Run(fmt.Sprintf("entries=%d", 450*domains), func(b *testing.B) {
			k, at, peers := newBenchKernel(domains)
			for b.Loop() {
				sendHeartbeat(k, at, peers[0])
			}
		})
	}
}
