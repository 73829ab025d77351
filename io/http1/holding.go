package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/id"
)

const (
	// MaxBufferedBody is the size below which a request body is read in full before the
	// request is handled: a slow sender then occupies no slot, and the request can be
	// repeated. Orders of all users are below 8 KB.
	MaxBufferedBody = 1 << 20
	// streamPrefix is the part of a longer body that must arrive before the request is
	// handled.
	streamPrefix = 64 << 10
	// requestOverhead is reserved for each request in addition to its body: what net/http
	// and the handlers keep of a short header, the stack and the timers of the request.
	// With 6 KB, 14,400 pipelined requests took a daemon of 184 MB to 146 MB.
	requestOverhead = 16 << 10
	// headerExpansion is the memory of a parsed header relative to its length.
	headerExpansion = 2
	// ordinaryHeaderLines is the number of header lines that are included in what is reserved
	// for every request, and headerLineBytes the memory that the parser needs for each
	// further one: headers of 15 KB with empty fields took about 270 KB each.
	ordinaryHeaderLines = 64
	headerLineBytes     = 128
	// progressStep is how much of a request counts as progress: who sends less in the time
	// after which a request counts as stalled is slower than minTransferRate.
	progressStep = minTransferRate
	// firstChunk is the first part of a body of unknown length.
	firstChunk = 4 << 10
)

// ErrMemoryFull is returned for bytes for which the account has no room.
var ErrMemoryFull = errors.New("http1: the account of held bytes has no room: retry later or raise the memory limit")

// ErrStalled is returned for a body that makes no progress while others need the memory.
var ErrStalled = errors.New("http1: the body makes no progress while memory is short: send it faster or later")

// processStart is the origin of Clock.
var processStart = time.Now()

// Clock returns the current time on the monotonic clock that all accounts of this process
// use.
func Clock() id.Instant { return id.Instant(time.Since(processStart)) }

// ClientOf returns the client with the given remote address.
func ClientOf(address string) holdings.Client {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return holdings.Client(address)
	}
	return holdings.Client(host)
}

// Holding is the memory of one incoming request. It counts as ordinary as long as the
// request is short. A nil holding is not limited.
type Holding struct {
	account *holdings.Account
	client  holdings.Client
	yield   func()

	mu    sync.Mutex
	bytes int64
	// sinceMoved counts the bytes that have arrived since the last progress.
	sinceMoved int
	ordinary   *holdings.Reservation
	large      *holdings.Reservation
}

// NewHolding reserves what every request needs, or returns ErrMemoryFull. Yield is called
// when the request must be given up while its body is incomplete; it must not block.
func NewHolding(account *holdings.Account, client holdings.Client, yield func()) (*Holding, error) {
	if account == nil {
		return nil, nil
	}
	h := &Holding{account: account, client: client, yield: yield}
	var granted bool
	h.ordinary, granted = account.Reserve(h.request(holdings.Ordinary, requestOverhead))
	if !granted {
		return nil, ErrMemoryFull
	}
	return h, nil
}

func (h *Holding) request(purpose holdings.Purpose, n int64) holdings.Request {
	return holdings.Request{Purpose: purpose, Client: h.client, Amount: n, At: Clock(), State: holdings.Receiving, Yield: h.yield}
}

// Grow reserves n more bytes and reports whether the account has granted them.
func (h *Holding) Grow(n int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += n
	if h.bytes <= holdings.OrdinaryBytes {
		return h.ordinary.Grow(n, Clock())
	}
	if h.large != nil {
		return h.large.Grow(n, Clock())
	}
	var granted bool
	h.large, granted = h.account.Reserve(h.request(holdings.Body, n))
	// From now on the large one yields for both.
	h.ordinary.SetState(holdings.Running, Clock())
	return granted
}

// yielding returns the reservation that yields for the request. The caller holds mu.
func (h *Holding) yielding() *holdings.Reservation {
	if h.large != nil {
		return h.large
	}
	return h.ordinary
}

// moved records that n bytes of the request have arrived.
func (h *Holding) moved(n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sinceMoved += n
	if h.sinceMoved >= progressStep {
		h.sinceMoved = 0
		h.yielding().Moved(Clock())
	}
}

// setState sets what the request is doing.
func (h *Holding) setState(state holdings.State) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.yielding().SetState(state, Clock())
}

// Complete records that the request is complete and may run, so that it is not given up
// for others.
func (h *Holding) Complete() { h.setState(holdings.Running) }

// refused returns the error of a request that was asked to yield, or the given one.
func (h *Holding) refused(err error) error {
	if h == nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch yielding := h.yielding(); {
	case !yielding.Revoked():
		return err
	case yielding.Stalled(Clock()):
		return ErrStalled
	default:
		return ErrMemoryFull
	}
}

// Release gives back everything.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ordinary.Release()
	h.large.Release()
}

// ReadBody reads a body of the given length, or of unknown length if it is negative, and
// reports whether it is complete. It reads a part of a body that is not below the limit
// of buffered bodies. The bytes are reserved before they are read.
func (h *Holding) ReadBody(body io.Reader, length int64) (data []byte, complete bool, err error) {
	reader := movingReader{reader: body, holding: h}
	if length < 0 {
		return h.readUnknown(reader)
	}
	size, complete := length, true
	if length >= MaxBufferedBody {
		size, complete = int64(streamPrefix), false
	}
	if !h.Grow(size) {
		return nil, false, ErrMemoryFull
	}
	data = make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, false, h.refused(err)
	}
	return data, complete, nil
}

// readUnknown reads a body of unknown length.
func (h *Holding) readUnknown(reader io.Reader) (data []byte, complete bool, err error) {
	for {
		if len(data) == cap(data) {
			size := max(firstChunk, 2*cap(data))
			if size > MaxBufferedBody {
				return data, false, nil
			}
			if !h.Grow(int64(size - cap(data))) {
				return nil, false, ErrMemoryFull
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return nil, false, h.refused(err)
		}
	}
}

// movingReader records the progress of a holding.
type movingReader struct {
	reader  io.Reader
	holding *Holding
}

func (r movingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.holding.moved(n)
	return n, err
}

// bufferedBody is a request body that is in memory.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

func newBufferedBody(data []byte) bufferedBody {
	return bufferedBody{Reader: bytes.NewReader(data), data: data}
}

func (bufferedBody) Close() error { return nil }

// Body returns the body of a request that a Server has received: its bytes, or a stream.
// It returns false for other requests, whose body is to be read with ReadBody.
func Body(r *http.Request) (data []byte, stream io.Reader, found bool) {
	switch body := r.Body.(type) {
	case bufferedBody:
		return body.data, nil, true
	case *streamedBody:
		return nil, body, true
	default:
		return nil, nil, false
	}
}

type ownerKey struct{}

// WithOwner returns a context in which a Pool reserves memory for responses, and the
// owner of the reservations, which must be closed when the responses are no longer used.
func WithOwner(ctx context.Context) (context.Context, *holdings.Owner) {
	owner := &holdings.Owner{}
	return context.WithValue(ctx, ownerKey{}, owner), owner
}

func ownerOf(ctx context.Context) *holdings.Owner {
	owner, _ := ctx.Value(ownerKey{}).(*holdings.Owner)
	return owner
}
