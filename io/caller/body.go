package caller

import (
	"bytes"
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

// replayBody is a request body that can be sent again when it is small. A
// transport may read the body of an attempt after the attempt has failed, so
// each attempt has a reader of its own.
type replayBody struct {
	buffered []byte
	rest     io.Reader
	limit    int64

	mu      sync.Mutex
	attempt int
	touched bool
}

// stream is the reader of one attempt for a body that is not buffered.
type stream struct {
	body    *replayBody
	attempt int
}

var errAttemptEnded = errors.New("the attempt has ended")

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

// open returns the body for the attempt that starts now.
func (b *replayBody) open() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return io.NopCloser(&stream{body: b, attempt: b.attempt})
}

// Read streams the body within its limit.
func (s *stream) Read(into []byte) (int, error) {
	b := s.body
	if !b.touch(s.attempt) {
		return 0, errAttemptEnded
	}
	n, err := b.rest.Read(into)
	b.limit -= int64(n)
	if b.limit < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// touch notes that the attempt reads the body, unless the attempt has ended.
func (b *replayBody) touch(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.touched = true
	return true
}

// rewind ends the attempt and makes the body ready for another one, or reports
// that a part of it is gone.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.touched {
		return false
	}
	b.attempt++
	return true
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
