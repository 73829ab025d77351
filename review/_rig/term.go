package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramsaddle/platform/platformtest"
)

func init() { cases["late-term"] = lateTerm }

// lateTerm: the daemon of a zone's only machine is stopped. Its clients go on, as no
// other daemon of the zone is in. Orders take 2.7 s.
func lateTerm(r *rig) (int, error) {
	const orders, work = 20, 2700 * time.Millisecond
	if err := r.addHosts(daemonOptions{graceS: 6, linkMbps: 1000, memoryMB: 284}, "shop", "shop", "shop"); err != nil {
		return 0, err
	}
	var working sync.Map
	for i, h := range r.hosts {
		name := fmt.Sprintf("i-%d", i)
		backend, err := platformtest.NewBackend(name, h.service, h.at(r.backend))
		if err != nil {
			return 0, err
		}
		defer backend.Close()
		backend.SetHandler(func(w http.ResponseWriter, request *http.Request) {
			id := platformtest.RequestID(request.Header)
			r.note("run %s at %s", id, name)
			working.Store(id, true)
			if strings.HasPrefix(request.RequestURI, "/order/") {
				time.Sleep(work)
			}
			working.Delete(id)
			platformtest.Sign(w.Header(), name)
			_, _ = w.Write(body(id, 1500))
		})
		r.list(h, name, time.Now(), 18)
	}
	r.publish(1, []string{"shop"},
		platformtest.Route("look", "/look/", "safe", "shop", time.Second, 2),
		platformtest.Route("order", "/order/", "unsafe", "shop", 5*time.Second, 1))
	if err := r.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var number atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() {
		for ctx.Err() == nil {
			id := newID(int(number.Add(1)))
			answer, err := platformtest.Call(ctx, r.hosts[0].at(r.caller), http.MethodGet, "/look/x", id, 2*time.Second, "")
			r.note("lookup %s: %d, %v", id, answer.Status, err)
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	stopped := time.Now()
	if r.trouble {
		r.signal(r.hosts[0], syscall.SIGTERM)
	}
	var lost, answered, refused atomic.Int64
	var sent sync.WaitGroup
	for order := range orders {
		// From 3.1 s to 3.4 s after the SIGTERM.
		time.Sleep(time.Until(stopped.Add(3100*time.Millisecond + time.Duration(order)*15*time.Millisecond)))
		id := newID(int(number.Add(1)))
		sent.Go(func() {
			began := time.Now()
			r.note("sent order %s, %.3f s after the SIGTERM", id, began.Sub(stopped).Seconds())
			answer, err := platformtest.Call(context.Background(), r.hosts[0].at(r.caller), http.MethodPost, "/order/x", id, 5*time.Second, "order")
			_, atWork := working.Load(id)
			r.note("order %s: %d, %v, %.3f s after the SIGTERM, target at work: %v", id, answer.Status, err, time.Since(stopped).Seconds(), atWork)
			switch {
			case err != nil:
				lost.Add(1)
			case answer.Status == http.StatusOK:
				answered.Add(1)
			default:
				refused.Add(1)
			}
		})
	}
	sent.Wait()
	cancel()
	clients.Wait()
	r.note("orders sent 3.1 to 3.4 s after the SIGTERM: %d answered, %d refused or failed, %d ended without an answer", answered.Load(), refused.Load(), lost.Load())
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
