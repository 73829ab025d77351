package soak

import (
	"context"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// sender sends requests to the daemon of one host.
type sender struct {
	address string
	// kept is the connection for all requests; if it is nil, each has its own.
	kept *platformtest.Client
}

func (w *world) newSender(h *host, keepsConnection bool) *sender {
	s := &sender{address: w.address(h.localIP, portCaller)}
	if keepsConnection {
		s.kept = platformtest.NewClient(s.address)
	}
	return s
}

func (s *sender) close() {
	if s.kept != nil {
		s.kept.Close()
	}
}

// send sends the call and reports whether its connection had carried earlier ones.
func (s *sender) send(ctx context.Context, method string, one *call) (reply platformtest.Response, reused bool, err error) {
	if s.kept != nil {
		return s.kept.Call(ctx, method, one.target, one.id, one.timeout)
	}
	reply, err = platformtest.Call(ctx, s.address, method, one.target, one.id, one.timeout, "")
	return reply, false, err
}

// observe sends the call to the host's daemon, waits for its response for the given time,
// and sets its outcome and the stop that it meets.
func (w *world) observe(h *host, one *call, wait time.Duration, by *sender, method string) {
	// A client that has sent a request waits for the response also when the run ends.
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	one.began = time.Now()
	stoppedBefore := h.stoppingSince()
	reply, reused, err := by.send(ctx, method, one)
	one.reused = reused
	w.finish(h, one, &reply, err, stoppedBefore)
}

// finish sets the outcome of a call and the stop that it meets. stoppedBefore is when the
// host's daemon had been asked to stop as the call began, or zero.
func (w *world) finish(h *host, one *call, reply *platformtest.Response, err error, stoppedBefore time.Time) {
	w.recorder.known.record(h.name, reply, time.Now())
	one.duration, one.err = time.Since(one.began), err
	one.status, one.body, one.signed = reply.Status, []byte(reply.Body), reply.Signature != ""
	one.undisturbed = w.undisturbed(h, one.began)
	one.stoppedAt, one.duringStop = stoppedBefore, !stoppedBefore.IsZero()
	if !one.duringStop {
		one.stoppedAt = h.stoppingSince()
		one.stopping = !one.stoppedAt.IsZero()
	}
}
