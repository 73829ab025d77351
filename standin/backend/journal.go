package backend

import (
	"net/http"
	"os"
	"sync"
	"time"
)

// Result says how a request at the backend server ended.
type Result string

// The results of a request. Only those with Ran set had an effect.
const (
	ResultRunning  Result = "running"
	ResultFinished Result = "finished"
	// ResultCutOff is a request that ran and whose answer was not sent in full.
	ResultCutOff Result = "cut_off"
	// ResultCancelled is a request that ran and was cancelled before its answer.
	ResultCancelled Result = "cancelled"
	// ResultShed is a request refused because all slots were taken.
	ResultShed Result = "shed"
	// ResultCold is a request refused during the cold start.
	ResultCold Result = "cold"
	// ResultExpired is a request refused because its deadline had passed.
	ResultExpired Result = "expired"
	// ResultIncomplete is a request whose body did not arrive in full.
	ResultIncomplete Result = "incomplete"
)

// Row is one request that reached the backend server.
type Row struct {
	CallID         string `json:"call_id"`
	Token          string `json:"token"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartUnixNs    int64  `json:"start_unix_ns"`
	EndUnixNs      int64  `json:"end_unix_ns"`
	Result         Result `json:"result"`
	// Ran is set from the moment the request takes effect, whatever its result.
	Ran bool `json:"ran"`
	// Draining is set when the request arrived after the drain began.
	Draining bool  `json:"draining"`
	Bytes    int64 `json:"bytes"`
}

// Journal is the answer of GET /journal.
type Journal struct {
	// DrainUnixNs is the start of the drain, or 0.
	DrainUnixNs int64 `json:"drain_unix_ns"`
	Rows        []Row `json:"rows"`
}

type journal struct {
	mu      sync.Mutex
	rows    []Row
	file    *os.File // nil without a journal file
	fileErr error
}

// begin adds a row and returns its position.
func (j *journal) begin(r *http.Request, draining bool) int {
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
	j.append(entry{Position: position, Row: &j.rows[position]})
	return position
}

// ran marks a row's request as having taken effect.
func (j *journal) ran(position int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rows[position].Ran = true
	j.append(entry{Position: position, Row: &j.rows[position]})
}

func (j *journal) end(position int, result Result, bytes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	row := &j.rows[position]
	row.EndUnixNs = time.Now().UnixNano()
	row.Result = result
	row.Bytes = bytes
	j.append(entry{Position: position, Row: row})
}

func (j *journal) drain(unixNs int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.append(entry{DrainUnixNs: unixNs})
}

// from returns a copy of the rows from a position on.
func (j *journal) from(position int) []Row {
	j.mu.Lock()
	defer j.mu.Unlock()
	position = min(max(position, 0), len(j.rows))
	return append([]Row{}, j.rows[position:]...)
}
