package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/backend"
)

// Guards against a backend server that has returned and is not protected by its
// cold start, against a drain that lagging health hides, and against a host
// that looks alive again once its drained backend server has ended.
func TestSignsOfBackendState(t *testing.T) {
	ready, down, draining := backend.Health{Ready: true}, backend.Health{}, backend.Health{Ready: true, Draining: true}
	probe := func(health backend.Health) func(*Daemon) { return func(d *Daemon) { d.onHealth(health) } }
	alive, leaving := kernel.BackendState{Ready: true}, kernel.BackendState{Ready: true, Draining: true}
	gone, left := kernel.BackendState{}, kernel.BackendState{Draining: true}
	cases := []struct {
		name  string
		signs []func(*Daemon)
		want  []kernel.Event
		cold  bool
	}{
		{"steady", []func(*Daemon){probe(ready), probe(ready)}, []kernel.Event{alive}, false},
		{"returns", []func(*Daemon){probe(ready), probe(down), probe(ready)}, []kernel.Event{alive, gone, alive}, true},
		{
			"returns between probes",
			[]func(*Daemon){probe(ready), (*Daemon).onUnreachable, (*Daemon).onUnreachable, probe(ready)},
			[]kernel.Event{alive, gone, alive},
			true,
		},
		{
			"lagging health",
			[]func(*Daemon){probe(ready), (*Daemon).onDraining, (*Daemon).onDraining, probe(ready)},
			[]kernel.Event{alive, leaving},
			false,
		},
		{"drained and ended", []func(*Daemon){probe(draining), probe(down)}, []kernel.Event{leaving, left}, false},
		{
			"replaced",
			[]func(*Daemon){(*Daemon).onDraining, (*Daemon).onUnreachable, probe(ready)},
			[]kernel.Event{leaving, left, alive},
			true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &Daemon{events: make(chan kernel.Event, eventQueue)}
			d.gate = admission.NewGate(4, 4, admission.WithRamp(time.Hour))
			for _, sign := range c.signs {
				sign(d)
			}
			close(d.events)
			var got []kernel.Event
			for event := range d.events {
				got = append(got, event)
			}
			is.Equal(got, c.want)
			at := now()
			_, refused := d.gate.Acquire(context.Background(), at, document.ClassOrder, at.Add(time.Second), at.Add(time.Second))
			is.True(refused == nil)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			_, refused = d.gate.Acquire(ctx, at, document.ClassOrder, at.Add(time.Second), at.Add(time.Second))
			is.Equal(refused != nil, c.cold) // a cold gate has one slot of four
		})
	}
}
