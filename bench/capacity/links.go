package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/peer"
	"marjoramsaddle/standin/authority"
)

const linkDomain = id.Domain("domain-00")

// measureLinks returns the memory of one end of an idle link: the growth of
// heap and stacks when links are opened between transports of this process.
func measureLinks(ports []int) (sample, error) {
	count := len(ports) - 1
	folder, err := os.MkdirTemp("", "capacity-links-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	issuer, err := authority.New()
	if err != nil {
		return nil, err
	}
	var up atomic.Int64
	transports := make([]*peer.Transport, 0, count+1)
	defer func() {
		for _, each := range transports {
			each.Close()
		}
	}()
	for index := range ports {
		each, err := openTransport(folder, issuer, index, ports[index], &up)
		if err != nil {
			return nil, err
		}
		transports = append(transports, each)
	}
	before := liveHeap()
	for _, each := range transports[1:] {
		each.Dial(linkHost(0), address(ports[0]))
	}
	if err := waitFor(func() bool { return up.Load() == int64(2*count) }); err != nil {
		return nil, fmt.Errorf("open %d links: %w", count, err)
	}
	time.Sleep(settlePause)
	growth := liveHeap() - before
	return sample{"link_heap_kb": float64(growth) / 1e3 / float64(2*count)}, nil
}

func linkHost(index int) id.Host { return id.Host(fmt.Sprintf("link-%02d", index)) }

func openTransport(folder string, issuer *authority.Authority, index, port int, up *atomic.Int64) (*peer.Transport, error) {
	host := linkHost(index)
	identity, err := issuer.Issue(linkDomain, host)
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(folder, string(host))
	if err := issuer.Write(dir, identity); err != nil {
		return nil, err
	}
	keys, err := certificate.Load(tlsOf(dir))
	if err != nil {
		return nil, err
	}
	var transport atomic.Pointer[peer.Transport]
	listening, err := peer.Listen(address(port), keys, certificate.Identity{Host: host, Domain: linkDomain}, func(event kernel.Event) {
		if event, ok := event.(kernel.LinkUp); ok {
			up.Add(1)
			// The other end accepts the stream when its first bytes arrive.
			transport.Load().Send(event.Host, &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{}}})
		}
	})
	transport.Store(listening)
	return listening, err
}

func waitFor(condition func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v", waitLimit)
		}
		time.Sleep(waitPoll)
	}
	return nil
}
