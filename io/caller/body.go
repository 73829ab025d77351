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

// maxReplayBytes is the largest request body that is buffered before the first
// attempt, which permits retries and keeps a slow caller from holding a slot.
const maxReplayBytes = 64 << 10

// replayBody is a request body that can be sent again if it is buffered, or if no
// attempt has read from it. Each attempt has its own reader, because a transport
// may still read the body after the attempt has failed.
type replayBody struct {
	buffered   []byte
	unbuffered io.Reader
	limit      int64

	mu          sync.Mutex
	attempt     int
	readStarted bool
}

// attemptReader reads an unbuffered body on behalf of one attempt.
type attemptReader struct {
	body    *replayBody
	attempt int
}

var errAttemptEnded = errors.New("request body read after the attempt ended")

var errBodyTooLarge = errors.New("request body exceeds the service's limit")

func newReplayBody(r *http.Request, limit int64) (*replayBody, *refusal.Error) {
	if r.ContentLength > limit {
		return nil, refusal.New(refusal.BodyTooLarge, refusal.NotRun)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return &replayBody{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		return &replayBody{unbuffered: r.Body, limit: limit}, nil
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		return nil, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
	}
	return &replayBody{buffered: buffered}, nil
}

// open returns the body for the attempt that is about to start.
func (b *replayBody) open() io.ReadCloser {
	if b.unbuffered == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return io.NopCloser(&attemptReader{body: b, attempt: b.attempt})
}

// Read streams the body up to the service's limit.
func (s *attemptReader) Read(into []byte) (int, error) {
	b := s.body
	if !b.startRead(s.attempt) {
		return 0, errAttemptEnded
	}
	n, err := b.unbuffered.Read(into)
	b.limit -= int64(n)
	if b.limit < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// startRead marks the body as partly read, or returns false if the attempt has
// ended.
func (b *replayBody) startRead(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.readStarted = true
	return true
}

// rewind ends the attempt and prepares the body for another one. It returns false
// if a part of an unbuffered body has been consumed.
func (b *replayBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readStarted {
		return false
	}
	b.attempt++
	return true
}

// cancelBody is a response body that cancels the call's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// attemptBody is a response body that reports the end of its attempt when it is
// closed.
type attemptBody struct {
	io.ReadCloser
	finish  func(*refusal.Error)
	failure *refusal.Error
	once    sync.Once
}

// Read reads from the body and keeps the last error.
func (b *attemptBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failure = refusal.Wrap(refusal.HopBroken, refusal.Unknown, err)
	}
	return n, err
}

// Close closes the body and reports the result of the attempt.
func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.finish(b.failure) })
	return err
}
