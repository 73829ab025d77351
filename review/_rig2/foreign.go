package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// foreignEntries is the number of entries that another writer leaves, and
	// foreignBytes the size of each, which is the largest that the store takes.
	foreignEntries = 8
	foreignBytes   = 1 << 20
	// applyTime is the time within which a configuration must take effect.
	applyTime = 2 * time.Second
	// foreignPlay is how long orders are sent after the configuration; the store keeps
	// its history for 20 s.
	foreignPlay = 12 * time.Second
)

// playForeign has another writer leave entries that can't be read among those of the
// targets. Then the operator moves a route from the counter to the depot.
func playForeign(f *fleet, trouble bool) (int, error) {
	for i, service := range []string{"counter", "depot", "counter", "counter", "depot"} {
		domain := []string{"reduit", "ebene"}[i%2]
		if _, err := f.addHost(hostSpec{domain: domain, service: service, slots: 18, handler: plain}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	configure := func(version, service string) {
		f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration(version, []string{"counter", "depot"},
			platformtest.Route("shop", "/shop/", "unsafe", service, time.Second, 1)))
		f.note("store: %s acknowledged: /shop/ leads to %s", version, service)
	}
	configure("r1", "counter")
	if err := f.start(); err != nil {
		return 0, err
	}
	for _, h := range f.hosts {
		if err := f.warmUp(h, "/shop/"); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i := range foreignEntries {
			value := make([]byte, foreignBytes)
			if _, err := rand.Read(value); err != nil {
				return 0, err
			}
			f.store.Put(fmt.Sprint(platformtest.ServerPrefix, "other-", i), value)
		}
		f.note("store: another writer has put %d entries of %d bytes that can't be read", foreignEntries, foreignBytes)
	}
	time.Sleep(3 * time.Second)
	configure("r2", "depot")
	acked := time.Now()
	// The numbers of orders that were sent too late for r1, by host, and of those that the
	// counter has run nevertheless.
	late, old := make([]int, len(f.hosts)), make([]int, len(f.hosts))
	for n := 0; time.Since(acked) < foreignPlay; n++ {
		for i, h := range f.hosts {
			id := fmt.Sprintf("order-%d-%d", n, i)
			after := time.Since(acked)
			reply, err := platformtest.Call(context.Background(), h.address(portCaller), http.MethodPost, "/shop/", id, time.Second, "order")
			ranBy := "nobody"
			for _, other := range f.hosts {
				if _, ran := other.backend.ranAt(id); ran {
					ranBy = other.service
				}
			}
			f.note("%s: %s sent %.3f s after the ack of r2: run by %s; answered %d, %v", h.name, id, after.Seconds(), ranBy, reply.Status, err)
			if after <= applyTime {
				continue
			}
			late[i]++
			if ranBy == "counter" {
				old[i]++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	breaks := 0
	for i, h := range f.hosts {
		breaks += old[i]
		f.note("%s: %d of %d orders sent later than %v after the ack of r2 were run by the service of r1", h.name, old[i], late[i], applyTime)
	}
	return breaks, nil
}
