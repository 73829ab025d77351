// Package refusal defines the reasons why a daemon refuses or retries a call, and the
// typed error that carries a reason to the caller.
//
// # Usage
//
//	err := refusal.New(refusal.QueueFull, refusal.NotRun)
//	fmt.Println(err)         // refused: queue_full: retry later or raise queue_ms
//	fmt.Println(err.Outcome) // not_run
package refusal

import (
	"errors"
	"net/http"
	"time"
)

//go:generate stringer -type=Reason,Outcome -linecomment -output=refusal_string.go

// Reason is the reason why a call or a control message was refused.
type Reason int

// The reasons. Their names appear in metrics and in the header
// Marjoramsaddle-Reason.
const (
	None              Reason = iota // none
	NoConfiguration                 // no_configuration
	FloorUnknown                    // floor_unknown
	Resyncing                       // resyncing
	NoRoute                         // no_route
	NoEndpoint                      // no_endpoint
	Leaving                         // leaving
	QueueFull                       // queue_full
	QueueDeadline                   // queue_deadline
	DeadlinePassed                  // deadline_passed
	RateLimited                     // rate_limited
	BodyTooLarge                    // body_too_large
	BadRequest                      // bad_request
	DepthExceeded                   // depth_exceeded
	ConnectFailed                   // connect_failed
	BackendShed                     // backend_shed
	BackendBroken                   // backend_broken
	HopBroken                       // hop_broken
	RetryBudgetSpent                // retry_budget_spent
	InProgress                      // in_progress
	RecordUnavailable               // record_unavailable
	WrongIdentity                   // wrong_identity
	TooManyLinks                    // too_many_links
	Busy                            // busy
	CallerGone                      // caller_gone
	LinkBusy                        // link_busy
	ServerLimited                   // server_limited
	ServerCold                      // server_cold
	Evacuated                       // evacuated
	MemoryFull                      // memory_full
	reasonCount                     // end
)

// Reasons returns every reason but None, in order.
func Reasons() []Reason {
	all := make([]Reason, 0, int(reasonCount)-1)
	for reason := None + 1; reason < reasonCount; reason++ {
		all = append(all, reason)
	}
	return all
}

// Parse returns the reason with the given name, or None.
func Parse(name string) Reason {
	for _, reason := range Reasons() {
		if reason.String() == name {
			return reason
		}
	}
	return None
}

// Outcome is what is known about a call's effect on the backend server.
type Outcome int

// The outcomes. Their names appear in the header Marjoramsaddle-Outcome.
const (
	// Ran means that the backend server responded.
	Ran Outcome = iota // ran
	// NotRun means that no byte of the request reached a backend server.
	NotRun // not_run
	// Unknown means that the request may or may not have run.
	Unknown // unknown
)

// Error is a refusal. Its message includes the remedy.
type Error struct {
	Reason  Reason
	Outcome Outcome
	Cause   error
	// RetryAfter is the time until there is capacity, or zero if that is unknown.
	RetryAfter time.Duration
}

// New returns a refusal without a cause.
func New(reason Reason, outcome Outcome) *Error {
	return &Error{Reason: reason, Outcome: outcome}
}

// Wrap returns a refusal caused by err.
func Wrap(reason Reason, outcome Outcome, err error) *Error {
	return &Error{Reason: reason, Outcome: outcome, Cause: err}
}

// Of returns the refusal in err's chain, or nil.
func Of(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// Error returns the reason, the remedy and the cause.
func (e *Error) Error() string {
	text := "refused: " + e.Reason.String() + ": " + e.Reason.Remedy()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the response to a refused call.
func (e *Error) Status() int {
	switch {
	case e.Reason == DeadlinePassed:
		return http.StatusGatewayTimeout
	case e.Reason == InProgress:
		return http.StatusConflict
	case e.Outcome != NotRun:
		return http.StatusBadGateway
	}
	switch e.Reason {
	case NoRoute:
		return http.StatusNotFound
	case RateLimited:
		return http.StatusTooManyRequests
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case BadRequest:
		return http.StatusBadRequest
	case DepthExceeded:
		return http.StatusLoopDetected
	default:
		return http.StatusServiceUnavailable
	}
}
