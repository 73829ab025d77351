// Package shutdown decides which requests a daemon that is stopping may still begin.
//
// The platform ends the process a grace period after it has asked it to stop. A request
// that is at work then ends without a response, and its sender cannot know whether it has
// run. So one rule holds for all requests, wherever they come from, and at each point at
// which one begins or goes on: when it arrives, before each attempt, and when it leaves a
// queue. A request that is refused has not run.
//
// # Usage
//
//	plan := shutdown.NewPlan(now, grace)
//	work := shutdown.Work{Origin: shutdown.Client, Arrived: arrived, Deadline: deadline, Expected: mean}
//	deadline, admitted := plan.Admit(work, now)
//	if !admitted {
//		// Refuse the request as not run.
//	}
//	plan = plan.RefuseNew(now) // once clients have stopped sending, or at plan.AcceptUntil()
package shutdown

import (
	"time"

	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Origin -linecomment -output=origin_string.go

// Origin is where a request comes from.
type Origin int

// The origins. Their names appear in logs.
const (
	// Client is a client of this host.
	Client Origin = iota // clients
	// Call is this host's backend server, on behalf of a request that it runs.
	Call // calls
	// Peer is another daemon, whose client's request is for this host's backend server.
	Peer // peers
	// OriginCount is the number of origins.
	OriginCount // end
)

const (
	// readinessLag is how long clients may still send after readiness has failed: the
	// platform checks once a second and acts after two failures.
	readinessLag = 2500 * time.Millisecond
	// acceptShare is the share of the grace period in which new requests are served.
	// The rest is for those in progress, whose timeouts are about a second.
	acceptShare = 0.58
	// stopMargin is the time left before the platform kills the process.
	stopMargin = 200 * time.Millisecond
	// closingTime is the time for closing the listeners and for responding to the requests
	// that have arrived on them until then.
	closingTime = 400 * time.Millisecond
	// responseMargin is the time for a response that the backend server sends at the
	// deadline to reach the sender of the request.
	responseMargin = 150 * time.Millisecond
)

// Work is a request that may begin or go on.
type Work struct {
	Origin Origin
	// Arrived is when the request reached this daemon.
	Arrived id.Instant
	// Deadline is when the request ends at the latest.
	Deadline id.Instant
	// Expected is how long such a request takes on average, or zero if that is unknown.
	Expected time.Duration
}

// Plan holds the times of one stop. It does not change; RefuseNew returns another one. A
// nil Plan is that of a daemon that is not stopping.
type Plan struct {
	noticedAt, acceptUntil, endsAt id.Instant
	// refusesFrom is when new requests began to be refused, or zero.
	refusesFrom id.Instant
}

// NewPlan returns the plan of a daemon that is asked to stop now and is killed when the
// grace period has passed.
func NewPlan(now id.Instant, grace time.Duration) *Plan {
	acceptTime := time.Duration(acceptShare * float64(grace))
	return &Plan{
		// A short grace period may leave clients no time to notice.
		noticedAt:   now.Add(min(readinessLag, acceptTime)),
		acceptUntil: now.Add(acceptTime),
		endsAt:      now.Add(grace - stopMargin),
	}
}

// NoticedAt returns when clients have noticed the failed readiness, or AcceptUntil if
// that is earlier.
func (p *Plan) NoticedAt() id.Instant { return p.noticedAt }

// AcceptUntil returns when new requests are refused at the latest.
func (p *Plan) AcceptUntil() id.Instant { return p.acceptUntil }

// CloseAt returns when the listeners begin to close at the latest.
func (p *Plan) CloseAt() id.Instant { return p.endsAt.Add(-closingTime) }

// EndsAt returns when the process ends at the latest.
func (p *Plan) EndsAt() id.Instant { return p.endsAt }

// RefuseNew returns a plan that refuses requests of clients and other daemons that arrive
// from now on. Calls are still admitted, since the requests that make them are finishing.
func (p *Plan) RefuseNew(now id.Instant) *Plan {
	refusing := *p
	refusing.refusesFrom = now
	return &refusing
}

// RefusesNew reports whether requests that arrive now are refused, except calls.
func (p *Plan) RefusesNew() bool { return p != nil && p.refusesFrom != 0 }

// Admit reports whether the work may begin or go on now, and returns its deadline.
//
// A request that arrived before its sender could notice the stop is admitted even if its
// deadline is after the end of the process, because most end long before their deadline.
// It is refused if it is expected to last too long. Otherwise its deadline becomes
// earlier, so that the backend server stops work while its response can still arrive.
func (p *Plan) Admit(work Work, now id.Instant) (deadline id.Instant, admitted bool) {
	if p == nil {
		return work.Deadline, true
	}
	if work.Origin != Call && p.RefusesNew() && !work.Arrived.Before(p.refusesFrom) {
		return 0, false
	}
	latest := p.endsAt.Add(-responseMargin)
	switch {
	case !latest.Before(work.Deadline):
		return work.Deadline, true
	case work.Arrived.Before(p.noticedAt) && now.Add(work.Expected).Before(latest):
		return latest, true
	default:
		return 0, false
	}
}
