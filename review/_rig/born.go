package main

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/platform/platformtest"
)

func init() { cases["born"] = born }

// born: a backend server starts again under its id after the time of day has jumped
// back, so that its start time is lower than before. Then it announces a limit.
func born(r *rig) (int, error) {
	const limit, length = 10.0, 14 * time.Second
	if err := r.addHosts(daemonOptions{graceS: 6, linkMbps: 1000, memoryMB: 284}, "shop", "shop", "shop"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var arrivals []time.Time
	var firstAnnounced time.Time
	names := []string{"i-0", "i-1", "i-2"}
	backends := make([]*platformtest.Backend, len(r.hosts))
	start := func(i int, announces bool) error {
		h := r.hosts[i]
		backend, err := platformtest.NewBackend(names[i], h.service, h.at(r.backend))
		if err != nil {
			return err
		}
		if announces {
			backend.Announce(strconv.FormatFloat(limit, 'f', 1, 64), false)
		}
		backend.SetHandler(func(w http.ResponseWriter, request *http.Request) {
			id := platformtest.RequestID(request.Header)
			r.note("run %s at %s", id, names[i])
			if announces {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				if firstAnnounced.IsZero() {
					firstAnnounced = time.Now()
				}
				mu.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
			platformtest.Sign(w.Header(), names[i])
			_, _ = w.Write(body(id, 1500))
		})
		backends[i] = backend
		return nil
	}
	ahead := time.Now().Add(2 * time.Second)
	for i, h := range r.hosts {
		if err := start(i, false); err != nil {
			return 0, err
		}
		bornAt := time.Now()
		if i == 1 {
			// The time of day is 2 s ahead on this machine.
			bornAt = ahead
		}
		r.list(h, names[i], bornAt, 18)
	}
	defer func() {
		for _, backend := range backends {
			backend.Close()
		}
	}()
	r.publish(1, []string{"shop"}, platformtest.Route("look", "/look/", "safe", "shop", 2*time.Second, 2))
	if err := r.startAll(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var number atomic.Int64
	var clients sync.WaitGroup
	for client := range 18 {
		clients.Go(func() {
			for ctx.Err() == nil {
				id := newID(int(number.Add(1)))
				answer, err := platformtest.Call(ctx, r.hosts[client%3].at(r.caller), http.MethodGet, "/look/x", id, 2*time.Second, "")
				if err != nil || answer.Status != http.StatusOK {
					r.note("lookup %s: %d, %v", id, answer.Status, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(800 * time.Millisecond)
	// The target crashes and starts again, under its id.
	backends[1].Close()
	r.note("target i-1 crashed")
	time.Sleep(200 * time.Millisecond)
	if err := start(1, true); err != nil {
		return 0, err
	}
	bornAt := time.Now()
	if !r.trouble {
		bornAt = bornAt.Add(2 * time.Second)
	}
	r.list(r.hosts[1], names[1], bornAt, 18)
	clients.Wait()
	most := 0
	mu.Lock()
	defer mu.Unlock()
	for i, at := range arrivals {
		if at.Sub(firstAnnounced) < 3*time.Second {
			continue
		}
		count := 0
		for _, other := range arrivals[i:] {
			if other.Sub(at) < 4*time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	allowed := 1.5*limit*4 + 5
	r.note("target i-1 got %d requests in some 4 s, from 3 s after it first named its limit; %.0f are allowed", most, allowed)
	if float64(most) > allowed {
		return broken, nil
	}
	return held, nil
}
