package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram covers 1 µs to 1 min.
	histogramMaxMicros   = int64(time.Minute / time.Microsecond)
	histogramFigures     = 3
	p50, p99             = 50, 99
	microsPerMillisecond = 1000
)

// Report is the JSON object that the load experiment prints.
type Report struct {
	Calls         int `json:"calls"`
	OK            int `json:"ok"`
	RefusedNotRun int `json:"refused_not_run"`
	UnknownResult int `json:"unknown_outcome"`
	// WrongAnswers counts answers to other calls or with other content, answers
	// to calls that never ran, and refusals as not run of calls that ran.
	WrongAnswers int `json:"wrong_answers"`
	Truncated    int `json:"truncated"`
	Doubled      int `json:"doubled"`
	LostInStop   int `json:"lost_in_stop"`
	// The added latency is the caller's latency less the time at the backend
	// server.
	AddedMsP50 float64 `json:"added_ms_p50"`
	AddedMsP99 float64 `json:"added_ms_p99"`
	// GoodputShare is the share of the lower of offered load and capacity that
	// was answered.
	GoodputShare float64 `json:"goodput_share"`
	// RetriesShare is the number of further attempts per call.
	RetriesShare           float64        `json:"retries_share"`
	NewWorkAfterLeaveMsMax float64        `json:"new_work_after_leave_ms_max"`
	Refusals               map[string]int `json:"refusals"`
	DoubledByMesh          int            `json:"-"` // without repeats of the caller
	UnknownDetails         map[string]int `json:"-"`
	Resent                 int            `json:"-"`
	WithoutAddedLatency    int            `json:"-"` // answered calls without exactly one finished row
	Baseline               Added          `json:"-"` // of direct calls in the same run
}

// NewReport sums up a run. The capacity is in calls per second; 0 stands for a
// capacity that the offered load does not reach.
func NewReport(records []Record, comparison Comparison, capacity float64, plan Plan) Report {
	report := Report{
		Calls:                  len(records),
		Doubled:                comparison.Doubled,
		DoubledByMesh:          comparison.DoubledByMesh,
		LostInStop:             comparison.LostInStop,
		WrongAnswers:           comparison.Lost + comparison.RanThoughRefused,
		NewWorkAfterLeaveMsMax: float64(comparison.NewWorkAfterLeave) / float64(time.Millisecond),
		Refusals:               map[string]int{},
		UnknownDetails:         map[string]int{},
	}
	for _, record := range records {
		report.count(record)
	}
	added := comparison.added(records)
	report.AddedMsP50, report.AddedMsP99 = added.MsP50, added.MsP99
	report.WithoutAddedLatency = added.Without
	report.shares(comparison, capacity, plan)
	return report
}

func (r *Report) count(record Record) {
	r.Resent += record.Resent
	switch record.Verdict {
	case OK:
		r.OK++
	case RefusedNotRun:
		r.RefusedNotRun++
		r.Refusals[record.Reason]++
	case Unknown:
		r.UnknownResult++
		r.UnknownDetails[record.Detail]++
	case Wrong:
		r.WrongAnswers++
	case Truncated:
		r.Truncated++
	}
}

// Added is the latency that is added to the time at the backend server.
type Added struct {
	MsP50, MsP99 float64
	// Without counts answered calls without exactly one finished row.
	Without int
}

func (c Comparison) added(records []Record) Added {
	histogram := hdrhistogram.New(1, histogramMaxMicros, histogramFigures)
	var added Added
	for _, record := range records {
		if record.Verdict != OK {
			continue
		}
		service, ok := c.ServiceTimes[record.Call.ID]
		if !ok {
			added.Without++
			continue
		}
		micros := max((record.Latency - service).Microseconds(), 0)
		// The value is within the histogram's range, so recording can't fail.
		_ = histogram.RecordValue(min(micros, histogramMaxMicros))
	}
	added.MsP50 = float64(histogram.ValueAtQuantile(p50)) / microsPerMillisecond
	added.MsP99 = float64(histogram.ValueAtQuantile(p99)) / microsPerMillisecond
	return added
}

func (r *Report) shares(comparison Comparison, capacity float64, plan Plan) {
	if r.Calls == 0 {
		return
	}
	r.RetriesShare = float64(comparison.ExtraAttempts) / float64(r.Calls)
	reachable := float64(r.Calls)
	if capacity > 0 {
		reachable = min(reachable, capacity*plan.Duration.Seconds())
	}
	r.GoodputShare = float64(r.OK) / reachable
}
