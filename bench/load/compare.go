package load

import (
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/id"
	"marjoramsaddle/standin/backend"
)

// Comparison is what callers saw against what the backend servers ran.
type Comparison struct {
	// Doubled is the number of idempotency keys that ran more than once.
	Doubled int
	// DoubledByMesh is the number of calls with a key that ran more than once.
	// Repeats of the caller have other ids and don't count here.
	DoubledByMesh int
	// Lost is the number of answered calls that no backend server ran.
	Lost int
	// RanThoughRefused is the number of calls that ran although their caller was
	// told that they did not.
	RanThoughRefused int
	// LostInStop is the number of calls without a whole answer that ran at a
	// backend server during its drain.
	LostInStop int
	// ExtraAttempts is the number of times that calls reached a backend server
	// again.
	ExtraAttempts int
	// NewWorkAfterLeave is the longest time from the start of a drain to the
	// arrival of a request.
	NewWorkAfterLeave time.Duration
	// ServiceTimes is the time at the backend server of each finished call by id.
	ServiceTimes map[string]time.Duration
}

// attempt is a row with the start of the drain of its backend server.
type attempt struct {
	row         backend.Row
	drainUnixNs int64
}

// duringDrain reports whether the attempt was in progress at the drain's start
// or arrived after it.
func (a attempt) duringDrain() bool {
	return a.drainUnixNs != 0 && (a.row.EndUnixNs == 0 || a.row.EndUnixNs >= a.drainUnixNs)
}

// Compare compares records with the journals of all backend servers that lived
// during the run.
func Compare(records []Record, journals []backend.Journal) Comparison {
	index := newIndex(records, journals)
	comparison := Comparison{
		Doubled:           index.doubled(),
		DoubledByMesh:     index.doubledByMesh(),
		ExtraAttempts:     index.extraAttempts(),
		NewWorkAfterLeave: index.newWorkAfterLeave(),
		ServiceTimes:      index.serviceTimes(),
	}
	for _, record := range records {
		index.compareRecord(record, &comparison)
	}
	return comparison
}

// journalIndex holds the attempts by call and the runs by idempotency key.
type journalIndex struct {
	byCall map[string][]attempt
	runs   map[string]int
}

// newIndex leaves out calls that are not among the records, such as those of the
// baseline.
func newIndex(records []Record, journals []backend.Journal) journalIndex {
	recorded := make(map[string]bool, len(records))
	for _, record := range records {
		recorded[record.Call.ID] = true
	}
	index := journalIndex{byCall: map[string][]attempt{}, runs: map[string]int{}}
	for _, journal := range journals {
		for _, row := range journal.Rows {
			if !recorded[row.CallID] {
				continue
			}
			index.byCall[row.CallID] = append(index.byCall[row.CallID], attempt{row, journal.DrainUnixNs})
			if row.Ran && row.IdempotencyKey != "" {
				index.runs[row.IdempotencyKey]++
			}
		}
	}
	return index
}

func (index journalIndex) doubled() int {
	doubled := 0
	for _, runs := range index.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled
}

func (index journalIndex) doubledByMesh() int {
	doubled := 0
	for _, attempts := range index.byCall {
		runs := 0
		for _, a := range attempts {
			if a.row.Ran && a.row.IdempotencyKey != "" {
				runs++
			}
		}
		if runs > 1 {
			doubled++
		}
	}
	return doubled
}

func (index journalIndex) extraAttempts() int {
	extra := 0
	for _, attempts := range index.byCall {
		extra += len(attempts) - 1
	}
	return extra
}

func (index journalIndex) newWorkAfterLeave() time.Duration {
	longest := time.Duration(0)
	for _, attempts := range index.byCall {
		for _, a := range attempts {
			if a.drainUnixNs != 0 {
				longest = max(longest, time.Duration(a.row.StartUnixNs-a.drainUnixNs))
			}
		}
	}
	return longest
}

// serviceTimes leaves out calls with several attempts, whose latency is not
// comparable with the time of one of them.
func (index journalIndex) serviceTimes() map[string]time.Duration {
	times := map[string]time.Duration{}
	for callID, attempts := range index.byCall {
		row := attempts[0].row
		if len(attempts) == 1 && row.Result == backend.ResultFinished {
			times[callID] = time.Duration(row.EndUnixNs - row.StartUnixNs)
		}
	}
	return times
}

func (index journalIndex) compareRecord(record Record, comparison *Comparison) {
	switch record.Verdict {
	case OK:
		if !index.ran(record.Call) {
			comparison.Lost++
		}
	case RefusedNotRun:
		if anyRan(index.byCall[record.Call.ID]) {
			comparison.RanThoughRefused++
		}
	default:
		if index.ranDuringDrain(record.Call) {
			comparison.LostInStop++
		}
	}
}

// ran reports whether the call ran, itself or as the twin whose recorded answer
// it got.
func (index journalIndex) ran(call Call) bool {
	if call.Key != "" {
		return index.runs[call.Key] > 0
	}
	return anyRan(index.byCall[call.ID])
}

func (index journalIndex) ranDuringDrain(call Call) bool {
	for _, a := range index.byCall[call.ID] {
		if a.row.Ran && a.duringDrain() {
			return true
		}
	}
	return false
}

func anyRan(attempts []attempt) bool {
	for _, a := range attempts {
		if a.row.Ran {
			return true
		}
	}
	return false
}

// leavingEntries returns when each daemon began to leave, by the address of its
// callers.
func leavingEntries(left map[id.Host]int64, layout *fleet.Layout) map[string]int64 {
	leaving := map[string]int64{}
	for _, host := range layout.Hosts {
		if at, ok := left[host.Name]; ok {
			leaving[host.Caller.String()] = at
		}
	}
	return leaving
}

// cutOffAtEntry counts the calls to a daemon that ended without an answer after
// it had begun to leave. A refusal with a reason is an answer.
func cutOffAtEntry(records []Record, leaving map[string]int64) int {
	count := 0
	for _, record := range records {
		at, ok := leaving[record.Address]
		cut := record.Verdict == Truncated || record.Verdict == Unknown && record.Reason == ""
		if ok && cut && record.Ended.UnixNano() >= at {
			count++
		}
	}
	return count
}
