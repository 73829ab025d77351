package load

import (
	"cmp"
	"slices"
	"time"
)

//go:generate stringer -type=Verdict -linecomment -output=load_string.go

// Verdict is what a caller saw of one call.
type Verdict int

// The verdicts.
const (
	OK            Verdict = iota // ok
	RefusedNotRun                // refused_not_run
	Unknown                      // unknown_outcome
	Wrong                        // wrong_answer
	Truncated                    // truncated
)

// Record is one call and what its caller saw.
type Record struct {
	Call    Call
	Verdict Verdict
	Reason  string // of a refusal
	Detail  string // of a verdict other than OK
	Latency time.Duration
	// Address is where the last attempt went, and Ended when its end was seen.
	Address string
	Ended   time.Time
	// Resent counts addresses to which nothing of the call was sent.
	Resent int
}

func sortByArrival(calls []Call) {
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
}
