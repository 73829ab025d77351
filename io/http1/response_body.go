package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/holdings"
)

// ErrBodyEnded is returned for a request whose body ended early while it was sent.
var ErrBodyEnded = errors.New("http1: the body of the request ended early: look at its sender")

// roomCheckInterval is how often a response that waits for memory checks for room.
const roomCheckInterval = 5 * time.Millisecond

// bodySource is the body of a request that is sent while it arrives.
type bodySource struct {
	io.Reader
	// failed is set when the body has ended early.
	failed atomic.Bool
}

func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failed.Store(true)
	}
	return n, err
}

// readBody reads the whole body and returns the reservation of its memory. It does not
// close the body, because that would read an oversized body to its end. After an error
// the connection is closed.
func (p *Pool) readBody(ctx context.Context, response *http.Response) ([]byte, *holdings.Reservation, error) {
	if response.Body == http.NoBody {
		return nil, nil, nil
	}
	if response.ContentLength > p.options.MaxBodyBytes {
		return nil, nil, ErrResponseBodyTooLarge
	}
	held := &responseHolding{pool: p, owner: ownerOf(ctx)}
	if response.ContentLength < 0 {
		body, err := p.readUnknown(ctx, response.Body, held)
		return body, held.reservation, err
	}
	if err := held.grow(ctx, response.ContentLength); err != nil {
		return nil, nil, err
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, nil, fmt.Errorf("http1: the answer is cut off: %w", err)
	}
	return body, held.reservation, nil
}

// readUnknown reads a body of unknown length.
func (p *Pool) readUnknown(ctx context.Context, reader io.Reader, held *responseHolding) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			// One byte beyond the largest body tells that a body is longer.
			size := int(min(max(firstChunk, 2*int64(cap(body))), p.options.MaxBodyBytes+1))
			if err := held.grow(ctx, int64(size-cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > p.options.MaxBodyBytes:
			return nil, ErrResponseBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("http1: the answer is cut off: %w", err)
		}
	}
}

// responseHolding is the memory of a response that is being read.
type responseHolding struct {
	pool        *Pool
	owner       *holdings.Owner
	reservation *holdings.Reservation
}

// grow reserves n more bytes. Since the request has run, it waits for room until the
// context ends; the bytes stay with the peer meanwhile.
func (h *responseHolding) grow(ctx context.Context, n int64) error {
	if h.owner == nil {
		return nil
	}
	for !h.tryGrow(n) {
		select {
		case <-ctx.Done():
			return ErrMemoryFull
		case <-time.After(roomCheckInterval):
		}
	}
	return nil
}

func (h *responseHolding) tryGrow(n int64) bool {
	if h.reservation != nil {
		return h.reservation.Grow(n, Clock())
	}
	reservation, granted := h.pool.options.Account.Reserve(holdings.Request{Purpose: h.pool.options.Purpose, Amount: n, At: Clock()})
	h.reservation = reservation
	h.owner.Keep(reservation)
	return granted
}
