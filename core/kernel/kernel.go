// Package kernel holds the control state of a daemon as a deterministic state
// machine. Step takes an event and its time and returns the actions to carry out; the
// same events always give the same actions. The kernel has no clock, socket or
// goroutine. The daemon calls it from one control goroutine and executes the actions.
//
// Plug-ins implement the control state and register themselves with Register. Each
// event goes to every plug-in in the order of their names. Events that a plug-in
// raises for the others are handled before Step returns.
//
// # Usage
//
//	k := kernel.New(kernel.Environment{Self: self})
//	actions := k.Step(now, kernel.Tick{})
package kernel

import (
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
)

// Event is an input of the kernel. Every event that enters through Step can be
// recorded in a trace as JSON.
type Event interface{ EventName() string }

// Action is an output of the kernel.
type Action interface{ ActionName() string }

// Environment holds the settings that plug-ins depend on. It does not change while
// the kernel runs.
type Environment struct {
	Self        endpoint.Entry
	Seeds       []Seed
	RandomSeed  uint64
	HasPlatform bool
	Options     Options
}

// Seed is a peer to dial at start, as configured in the settings. Host is empty if
// only the address is known.
type Seed struct {
	Host    id.Host   `json:"host"`
	Domain  id.Domain `json:"failure_domain"`
	Address string    `json:"address"`
}

// Plugin implements one part of the control state.
type Plugin interface {
	// Handle processes one event and emits actions and further events.
	Handle(at id.Instant, event Event, out *Output)
}

// Factory creates a plug-in for one kernel. The plug-in keeps shared to read and
// update the state that plug-ins have in common.
type Factory func(env Environment, shared *SharedState) Plugin

var factories = map[string]Factory{}

// Register adds a plug-in under a unique name and panics if the name is taken.
// Plug-ins call it from init.
func Register(name string, factory Factory) {
	if _, exists := factories[name]; exists {
		panic("kernel: plug-in " + name + " is registered twice")
	}
	factories[name] = factory
}

// Output collects the actions and events that plug-ins emit during a step.
type Output struct {
	actions []Action
	raised  []Event
}

// Emit appends an action to the result of the step.
func (o *Output) Emit(action Action) { o.actions = append(o.actions, action) }

// Raise sends an event to all plug-ins within the same step.
func (o *Output) Raise(event Event) { o.raised = append(o.raised, event) }

// Kernel holds the plug-ins of one daemon and the state that they share.
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
	k := &Kernel{shared: newSharedState(env)}
	for _, name := range names {
		k.plugins = append(k.plugins, factories[name](env, k.shared))
	}
	return k
}

// SharedState returns the state that plug-ins share. It may only be read between
// steps, by the goroutine that calls Step.
func (k *Kernel) SharedState() *SharedState { return k.shared }

// Step processes one event at the given time and returns the resulting actions in the
// order in which to carry them out.
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
