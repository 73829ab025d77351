// Package kernel holds the control state of a daemon. It is deterministic:
// events with their time go in, actions come out, and the same events always
// give the same actions. It has no clock, socket or goroutine. The daemon
// calls it from one control goroutine and carries the actions out.
//
// The work is done by plug-ins, which register themselves. Each event is given
// to every plug-in in order of registration name; events that plug-ins raise
// for each other are handled before Step returns.
//
// Usage:
//
//	k := kernel.New(kernel.Environment{Host: "counter-reduit-1"})
//	actions := k.Step(now, kernel.Tick{})
package kernel

import (
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
)

// Event is an input of the kernel. Every event type can be written to a trace
// as JSON.
type Event interface{ EventName() string }

// Action is an output of the kernel.
type Action interface{ ActionName() string }

// Environment is what a plug-in knows from the settings.
type Environment struct {
	Self        endpoint.Entry
	Seeds       []Seed
	RandomSeed  uint64
	HasPlatform bool
	Options     Options
}

// Seed is a peer that the settings name.
type Seed struct {
	Host    id.Host   `json:"host"`
	Domain  id.Domain `json:"failure_domain"`
	Address string    `json:"address"`
}

// Plugin is one part of the control state.
type Plugin interface {
	// Handle applies one event and emits actions and further events.
	Handle(at id.Instant, event Event, out *Output)
}

// Factory makes a plug-in. It may ask the kernel for the state that plug-ins
// share.
type Factory func(env Environment, shared *SharedState) Plugin

var factories = map[string]Factory{}

// Register adds a plug-in under a unique name. Plug-ins call it from init.
func Register(name string, factory Factory) {
	if _, exists := factories[name]; exists {
		panic("kernel: plug-in " + name + " is registered twice")
	}
	factories[name] = factory
}

// Output collects what a plug-in emits.
type Output struct {
	actions []Action
	raised  []Event
}

// Emit emits an action.
func (o *Output) Emit(action Action) { o.actions = append(o.actions, action) }

// Raise emits an event for all plug-ins, handled within the same step.
func (o *Output) Raise(event Event) { o.raised = append(o.raised, event) }

// Kernel is the control state of one daemon.
type Kernel struct {
	plugins []Plugin
	shared  *SharedState
}

// New returns a kernel with every registered plug-in.
func New(env Environment) *Kernel {
	names := make([]string, 0, len(factories))
	for name := range factories {
		names = append(names, name)
	}
	slices.Sort(names)
	k := &Kernel{shared: newShared(env)}
	for _, name := range names {
		k.plugins = append(k.plugins, factories[name](env, k.shared))
	}
	return k
}

// SharedState returns the state that plug-ins share. It must only be read between
// steps, by the goroutine that calls Step.
func (k *Kernel) SharedState() *SharedState { return k.shared }

// Step applies one event at the given time and returns the actions to carry
// out, in order.
func (k *Kernel) Step(at id.Instant, event Event) []Action {
	var out Output
	queue := []Event{event}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, plugin := range k.plugins {
			plugin.Handle(at, next, &out)
		}
		queue = append(queue, out.raised...)
		out.raised = nil
	}
	return out.actions
}
