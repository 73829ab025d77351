package ingress

import (
	"sync"

	"marjoramsaddle/core/throttle"
)

// throttleTable holds the throttle of each route.
type throttleTable struct {
	mu    sync.Mutex
	known map[string]*throttle.Throttle
}

func (t *throttleTable) of(route string) *throttle.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.known[route]
	if one == nil {
		if t.known == nil {
			t.known = map[string]*throttle.Throttle{}
		}
		one = throttle.New()
		t.known[route] = one
	}
	return one
}
