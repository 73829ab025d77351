package http1

import "sync"

// pipeline is the queue of a connection's outstanding responses.
type pipeline struct {
	// queue holds a channel for each outstanding response, in request order.
	queue chan chan *Response

	mu sync.Mutex
	// outstanding counts the responses that are reserved and not done.
	outstanding int
	// ended is set once no further response may be reserved.
	ended bool
}

func newPipeline() *pipeline {
	return &pipeline{queue: make(chan chan *Response, maxPipelined)}
}

// reserve returns the channel for the next response, which must be pushed next. It
// returns false once the pipeline has ended.
func (p *pipeline) reserve() (chan *Response, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, false
	}
	p.outstanding++
	return make(chan *Response, 1), true
}

// push queues a reserved response. It waits while too many are queued.
func (p *pipeline) push(response chan *Response) { p.queue <- response }

// done records that the response at the front was sent or dropped.
func (p *pipeline) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding--
}

// end ends the pipeline after the responses that are reserved.
func (p *pipeline) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// hasEnded reports whether no further response can be reserved.
func (p *pipeline) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// isLast reports whether the response at the front is the last one.
func (p *pipeline) isLast() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended && p.outstanding == 1
}
