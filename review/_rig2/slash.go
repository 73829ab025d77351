package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// playSlash has two routes of one host: /shop/ leads to the counter and /shop/depot/ to the
// depot. A client asks the counter for an item whose name holds an encoded slash.
func playSlash(f *fleet, trouble bool) (int, error) {
	for _, service := range []string{"counter", "depot"} {
		if _, err := f.addHost(hostSpec{domain: "reduit", service: service, slots: 18, handler: plain}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration("r1", []string{"counter", "depot"},
		platformtest.Route("shop", "/shop/", "unsafe", "counter", time.Second, 1),
		platformtest.Route("depot", "/shop/depot/", "unsafe", "depot", time.Second, 1)))
	if err := f.start(); err != nil {
		return 0, err
	}
	if err := f.warmUp(f.hosts[0], "/shop/", "/shop/depot/"); err != nil {
		return 0, err
	}
	path := "/shop/depot/nail"
	wanted := f.hosts[1]
	if trouble {
		path, wanted = "/shop/depot%2Fnail", f.hosts[0]
	}
	breaks := 0
	for n := range 5 {
		id := fmt.Sprint("order-", n)
		reply, err := platformtest.Call(context.Background(), f.hosts[n%2].address(portCaller), http.MethodPost, path, id, time.Second, "order")
		for _, h := range f.hosts {
			if _, ran := h.backend.ranAt(id); ran {
				f.note("%s %s: run by %s of service %s; answered %d, %v", id, path, h.backend.name, h.service, reply.Status, err)
				if h != wanted {
					breaks++
				}
			}
		}
	}
	return breaks, nil
}
