// Package trace records the events of a kernel and replays them without sockets or
// clocks. Since the kernel is deterministic, a replay gives the recorded process's
// actions, which an Expectation checks against the guarantees of the system.
//
// A trace has one JSON object per line: the time in Unix nanoseconds, the name of the
// event and its fields. The first line is the header with the environment of the
// kernel.
//
// # Usage
//
//	writer := trace.NewWriter(file)
//	err := writer.WriteHeader(now, trace.Header{Environment: env})
//	err = writer.Write(now, kernel.Tick{})
//
//	recorded, err := trace.Read(file)
//	outcome := trace.ReplayOutcome(recorded.Header.Environment, recorded.Records)
//	violations := expectation.Check(outcome)
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// maxLineBytes bounds one line. In base64, a control message of 8 MiB takes 11 MiB.
const maxLineBytes = 16 << 20

// Record is one event and its time.
type Record struct {
	At    id.Instant
	Event kernel.Event
}

// line is the JSON encoding of a record.
type line struct {
	At    id.Instant      `json:"at"`
	Event string          `json:"event"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Writer writes a trace.
type Writer struct{ out *json.Encoder }

// NewWriter returns a writer of a trace to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: json.NewEncoder(out)} }

// Write appends one event.
func (w *Writer) Write(at id.Instant, event kernel.Event) error {
	body, err := encode(event)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	if err := w.out.Encode(line{At: at, Event: event.EventName(), Body: body}); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// Reader reads a trace record by record.
type Reader struct {
	lines      *bufio.Scanner
	lineNumber int
	header     *Header
}

// NewReader returns a reader of the uncompressed trace in.
func NewReader(in io.Reader) *Reader {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	return &Reader{lines: lines}
}

// Header returns the header. It is nil before the first call of Next and when the
// trace has none.
func (r *Reader) Header() *Header { return r.header }

// Next returns the next record, or io.EOF at the end of the trace.
func (r *Reader) Next() (Record, error) {
	for r.lines.Scan() {
		r.lineNumber++
		read, err := r.parse(r.lines.Bytes())
		if err == nil && read.Event == nil {
			continue // The header is not an event.
		}
		if err != nil {
			return Record{}, fmt.Errorf("read trace: line %d: %w: record the trace again", r.lineNumber, err)
		}
		return read, nil
	}
	if err := r.lines.Err(); err != nil {
		return Record{}, fmt.Errorf("read trace: line %d: %w: shorten or remove the line", r.lineNumber+1, err)
	}
	return Record{}, io.EOF
}

func (r *Reader) parse(data []byte) (Record, error) {
	var decoded line
	if err := json.Unmarshal(data, &decoded); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) && !r.lines.Scan() {
			return Record{}, errors.Join(ErrTruncated, err)
		}
		return Record{}, err
	}
	if decoded.Event == headerName && r.lineNumber == 1 {
		header, err := decodeHeader(decoded.Body)
		r.header = header
		return Record{}, err
	}
	event, err := decode(decoded.Event, decoded.Body)
	return Record{At: decoded.At, Event: event}, err
}

// ReadAll returns all records of an uncompressed trace.
func ReadAll(in io.Reader) ([]Record, error) {
	var records []Record
	reader := NewReader(in)
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, err
		}
		records = append(records, record)
	}
}

// Step is one action and the time of the event that caused it.
type Step struct {
	At     id.Instant
	Action kernel.Action
}

// Replay feeds the events to a new kernel with the plug-ins linked into the program,
// and returns the actions.
func Replay(env kernel.Environment, records []Record) []Step {
	var steps []Step
	k := kernel.New(env)
	for _, record := range records {
		for _, action := range k.Step(record.At, record.Event) {
			steps = append(steps, Step{At: record.At, Action: action})
		}
	}
	return steps
}
