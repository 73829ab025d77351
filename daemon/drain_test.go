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

// Guards against a restarted backend server that gets no cold start, against a
// drain that a lagging health probe hides, and against a host that is reported
// alive after its drained backend server has exited.
func TestBackendStateReports(t *testing.T) {
	ready, down, draining := backend.Health{Ready: true}, backend.Health{}, backend.Health{Ready: true, Draining: true}
	probe := func(health backend.Health) func(*Daemon) { return func(d *Daemon) { d.onHealth(health) } }
	alive, leaving := kernel.BackendState{Ready: true}, kernel.BackendState{Ready: true, Draining: true}
	unreachable, drained := kernel.BackendState{}, kernel.BackendState{Draining: true}
	cases := []struct {
		name         string
		observations []func(*Daemon)
		want         []kernel.Event
		startsCold   bool
	}{
		{"steady", []func(*Daemon){probe(ready), probe(ready)}, []kernel.Event{alive}, false},
		{"restarted", []func(*Daemon){probe(ready), probe(down), probe(ready)}, []kernel.Event{alive, unreachable, alive}, true},
		{
			"restarted between probes",
			[]func(*Daemon){probe(ready), (*Daemon).onUnreachable, (*Daemon).onUnreachable, probe(ready)},
			[]kernel.Event{alive, unreachable, alive},
			true,
		},
		{
			"lagging health probe",
			[]func(*Daemon){probe(ready), (*Daemon).onDraining, (*Daemon).onDraining, probe(ready)},
			[]kernel.Event{alive, leaving},
			false,
		},
		{"drained and exited", []func(*Daemon){probe(draining), probe(down)}, []kernel.Event{leaving, drained}, false},
		{
			"replaced after drain",
			[]func(*Daemon){(*Daemon).onDraining, (*Daemon).onUnreachable, probe(ready)},
			[]kernel.Event{leaving, drained, alive},
			true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &Daemon{events: make(chan kernel.Event, eventQueueLength)}
			d.gate = admission.NewGate(4, 4, admission.WithRamp(time.Hour))
			for _, observe := range c.observations {
				observe(d)
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
			is.Equal(refused != nil, c.startsCold) // during a cold start one of four slots is usable
		})
	}
}
