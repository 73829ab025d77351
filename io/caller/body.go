package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"marjoramsaddle/core/refusal"
)

// replayBytes is the size up to which a request body is read whole before the
// first attempt. It allows repeats, and a slow caller holds no slot meanwhile.
const replayBytes = 64 << 10

// replayBody is a request body that can be read again when it is small.
type replayBody struct {
	buffered []byte
	offset   int
	rest     io.Reader
	limit    int64
	touched  bool
}

var errBodyTooLarge = errors.New("body is over the limit of the service")

func newReplayBody(r *http.Request, limit int64) (*replayBody, *refusal.Error) {
	if r.ContentLength > limit {
		return nil, refusal.New(refusal.BodyTooLarge, refusal.NotRun)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return &replayBody{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > replayBytes {
		return &replayBody{rest: r.Body, limit: limit}, nil
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		return nil, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
	}
	return &replayBody{buffered: buffered}, nil
}

// Read reads the buffered bytes, or streams a large body within its limit.
func (b *replayBody) Read(into []byte) (int, error) {
	if b.rest == nil {
		if b.offset == len(b.buffered) {
			return 0, io.EOF
		}
		n := copy(into, b.buffered[b.offset:])
		b.offset += n
		return n, nil
	}
	b.touched = true
	n, err := b.rest.Read(into)
	b.limit -= int64(n)
	if b.limit < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// rewind makes the body ready for another attempt, or reports that a part of
// it is gone.
func (b *replayBody) rewind() bool {
	b.offset = 0
	return !b.touched
}

// cancelBody ends the call's context when the answer is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the answer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// countedBody reports the end of an attempt when its answer is closed.
type countedBody struct {
	io.ReadCloser
	finish func(*refusal.Error)
	failed *refusal.Error
	once   sync.Once
}

// Read reads the answer and remembers a failure.
func (b *countedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = refusal.Wrap(refusal.HopBroken, refusal.Unknown, err)
	}
	return n, err
}

// Close closes the answer and reports the result of the attempt.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.finish(b.failed) })
	return err
}
