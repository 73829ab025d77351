package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// stormLinkMbps is the rate of the hosts' links: the slowest of the deployment.
	stormLinkMbps = 6
	// stormRoutes is the number of routes that a configuration has beside the judged one.
	stormRoutes = 1_400
	// The operator sends a version every stormGap for stormTime.
	stormGap  = 330 * time.Millisecond
	stormTime = 4 * time.Second
	// stormApply is the time within which a configuration must take effect there.
	stormApply = 2500 * time.Millisecond
	// stormPlay is how long orders are sent after the last version; the store keeps its
	// history for 20 s.
	stormPlay = 12 * time.Second
)

// playStorm has the operator send versions of a large configuration in quick succession.
// The last one moves a route from the counter to the depot. Without the trouble it is the
// only one.
func playStorm(f *fleet, trouble bool) (int, error) {
	for i, service := range []string{"counter", "depot", "counter", "counter", "depot"} {
		domain := []string{"reduit", "ebene"}[i%2]
		if _, err := f.addHost(hostSpec{
			domain: domain, service: service, slots: 18, handler: plain, linkMbps: stormLinkMbps, memoryMB: 184, slowStore: true,
		}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	number := 0
	configure := func(service string) {
		number++
		version := fmt.Sprint("r", number)
		routes := []map[string]any{platformtest.Route("shop", "/shop/", "unsafe", service, time.Second, 1)}
		for n := range stormRoutes {
			// Each version changes the timeouts.
			timeout := time.Second + time.Duration(number)*time.Millisecond
			routes = append(routes, platformtest.Route(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/page%04d/", n), "safe", "counter", timeout, 2))
		}
		value := platformtest.Configuration(version, []string{"counter", "depot"}, routes...)
		encoded, _ := json.Marshal(value)
		f.store.Put(platformtest.ConfigurationKey, value)
		f.note("store: %s acknowledged, %d bytes: /shop/ leads to %s", version, len(encoded), service)
	}
	configure("counter")
	if err := f.start(); err != nil {
		return 0, err
	}
	for _, h := range f.hosts {
		if err := f.warmUp(h, "/shop/"); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for began := time.Now(); time.Since(began) < stormTime; time.Sleep(stormGap) {
			configure("counter")
		}
	}
	configure("depot")
	acked := time.Now()
	last := fmt.Sprint("r", number)
	before := make([]int64, len(f.hosts))
	for i, h := range f.hosts {
		before[i] = h.link.bytes()
	}
	// The numbers of orders that were sent too late for an older version, by host, and of
	// those that the counter has run nevertheless.
	late, old := make([]int, len(f.hosts)), make([]int, len(f.hosts))
	for n := 0; time.Since(acked) < stormPlay; n++ {
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
			f.note("%s: %s sent %.3f s after the ack of %s: run by %s; answered %d, %v", h.name, id, after.Seconds(), last, ranBy, reply.Status, err)
			if after <= stormApply {
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
		f.note("%s: %d of %d orders sent later than %v after the ack of %s were run by the service of an older version; read %d bytes of the store since the ack",
			h.name, old[i], late[i], stormApply, last, h.link.bytes()-before[i])
	}
	return breaks, nil
}
