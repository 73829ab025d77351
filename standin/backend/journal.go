package backend

import (
	"net/http"
	"os"
	"sync"
	"time"
)

// Result is the outcome of a request at the backend server.
type Result string

// The results of a request. Row.Ran tells whether the request took effect.
const (
	ResultRunning  Result = "running"
	ResultFinished Result = "finished"
	// ResultCutOff: the request ran and its response was sent only in part.
	ResultCutOff Result = "cut_off"
	// ResultCancelled: the request ran and was cancelled before its response.
	ResultCancelled Result = "cancelled"
	// ResultShed: the request was rejected because all slots were busy.
	ResultShed Result = "shed"
	// ResultCold: the request was rejected during the cold start.
	ResultCold Result = "cold"
	// ResultExpired: the request was rejected because its deadline had passed.
	ResultExpired Result = "expired"
	// ResultIncomplete: the request was rejected because it arrived incomplete.
	ResultIncomplete Result = "incomplete"
)

// Row records one request that reached the backend server.
type Row struct {
	CallID         string `json:"call_id"`
	Token          string `json:"token"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartUnixNs    int64  `json:"start_unix_ns"`
	EndUnixNs      int64  `json:"end_unix_ns"`
	Result         Result `json:"result"`
	// Ran is set once the request takes effect, whatever its result.
	Ran bool `json:"ran"`
	// Draining is set when the request arrived after the drain began.
	Draining bool  `json:"draining"`
	Bytes    int64 `json:"bytes"`
}

// Journal is the response body of GET /journal.
type Journal struct {
	// DrainUnixNs is the time at which the drain began, or 0.
	DrainUnixNs int64 `json:"drain_unix_ns"`
	Rows        []Row `json:"rows"`
}

type journal struct {
	mu      sync.Mutex
	rows    []Row
	file    *os.File // nil without a journal file
	fileErr error
}

// beginRow adds a row and returns its position.
func (j *journal) beginRow(r *http.Request, draining bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rows = append(j.rows, Row{
		CallID:         r.Header.Get(HeaderCallID),
		Token:          r.Header.Get(HeaderToken),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.Path,
		StartUnixNs:    time.Now().UnixNano(),
		Result:         ResultRunning,
		Draining:       draining,
	})
	position := len(j.rows) - 1
	j.append(journalLine{Position: position, Row: &j.rows[position]})
	return position
}

// markRan marks a row's request as having taken effect.
func (j *journal) markRan(position int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rows[position].Ran = true
	j.append(journalLine{Position: position, Row: &j.rows[position]})
}

func (j *journal) endRow(position int, result Result, bytes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	row := &j.rows[position]
	row.EndUnixNs = time.Now().UnixNano()
	row.Result = result
	row.Bytes = bytes
	j.append(journalLine{Position: position, Row: row})
}

func (j *journal) recordDrain(unixNs int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.append(journalLine{DrainUnixNs: unixNs})
}

// rowsFrom returns a copy of the rows that start at a position.
func (j *journal) rowsFrom(position int) []Row {
	j.mu.Lock()
	defer j.mu.Unlock()
	position = min(max(position, 0), len(j.rows))
	return append([]Row{}, j.rows[position:]...)
}
