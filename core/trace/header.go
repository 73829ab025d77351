package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// headerName is the event name of the header record.
const headerName = "environment"

// ErrTruncated means that the last line is incomplete, as after the recording process
// was killed.
var ErrTruncated = errors.New("the last line is incomplete")

// Header is the first record of a trace. A replay creates its kernel from it.
type Header struct {
	Environment kernel.Environment
	// DroppedEvents is the number of events that precede the first one in the trace.
	// A replay of such a trace lacks their effects.
	DroppedEvents uint64
}

// header and options are the JSON encodings of Header and kernel.Options.
type (
	header struct {
		Self          endpoint.Entry `json:"self"`
		Seeds         []kernel.Seed  `json:"seeds,omitempty"`
		RandomSeed    uint64         `json:"random_seed"`
		HasPlatform   bool           `json:"has_platform"`
		Options       options        `json:"options"`
		DroppedEvents uint64         `json:"dropped,omitempty"`
	}
	options struct {
		Strategy      kernel.Strategy `json:"strategy,omitempty"`
		NoFloor       bool            `json:"no_floor,omitempty"`
		NoWitness     bool            `json:"no_witness,omitempty"`
		AcceptOlder   bool            `json:"accept_older,omitempty"`
		AcceptPartial bool            `json:"accept_partial,omitempty"`
		NoValidation  bool            `json:"no_validation,omitempty"`
		NoResync      bool            `json:"no_resync,omitempty"`
	}
)

// WriteHeader writes the header. It must be called before Write.
func (w *Writer) WriteHeader(at id.Instant, h Header) error {
	env := h.Environment
	body, err := json.Marshal(header{
		Self: env.Self, Seeds: env.Seeds, RandomSeed: env.RandomSeed,
		HasPlatform: env.HasPlatform, Options: options(env.Options), DroppedEvents: h.DroppedEvents,
	})
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	if err := w.out.Encode(line{At: at, Event: headerName, Body: body}); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

func decodeHeader(body json.RawMessage) (*Header, error) {
	var decoded header
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, err
	}
	return &Header{DroppedEvents: decoded.DroppedEvents, Environment: kernel.Environment{
		Self: decoded.Self, Seeds: decoded.Seeds, RandomSeed: decoded.RandomSeed,
		HasPlatform: decoded.HasPlatform, Options: kernel.Options(decoded.Options),
	}}, nil
}

// Trace is the content of a trace file.
type Trace struct {
	// Header is nil when the trace has none.
	Header  *Header
	Records []Record
	// Truncated is true when the last line is incomplete, because the recording
	// process was killed. Records then lacks that line.
	Truncated bool
}

// Read reads a trace, which may be compressed with gzip.
func Read(in io.Reader) (*Trace, error) {
	plain, err := decompress(in)
	if err != nil {
		return nil, err
	}
	reader := NewReader(plain)
	t := &Trace{}
	for {
		record, err := reader.Next()
		t.Header = reader.Header()
		switch {
		case errors.Is(err, io.EOF):
			return t, nil
		case errors.Is(err, ErrTruncated):
			t.Truncated = true
			return t, nil
		case err != nil:
			return nil, err
		}
		t.Records = append(t.Records, record)
	}
}

func decompress(in io.Reader) (io.Reader, error) {
	buffered := bufio.NewReader(in)
	magic, err := buffered.Peek(2)
	if err != nil || magic[0] != 0x1f || magic[1] != 0x8b {
		return buffered, nil // Not compressed. An error of Peek recurs at the first read.
	}
	plain, err := gzip.NewReader(buffered)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w: record the trace again", err)
	}
	return plain, nil
}
