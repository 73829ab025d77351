package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// Long requests last up to several seconds, and most of them make a call on their way, so
// that planned stops meet requests of all origins at work.

const (
	// longTimeout is the timeout of long requests and of calls.
	longTimeout = 5 * time.Second
	// minLongWork and maxLongWork limit how long a backend server works on one.
	minLongWork = 50 * time.Millisecond
	maxLongWork = 3500 * time.Millisecond
	// longPause is the time between two requests of a client.
	longPause = 50 * time.Millisecond
	// responseSlack is how long after its timeout a client waits for a response.
	responseSlack = time.Second
	// maxFinishingTime is how long a backend server that leaves waits for its requests.
	maxFinishingTime = longTimeout + responseSlack
)

// The documented excuse for a request that a planned stop cuts off: it was sent no later
// than earlyInStop after the SIGTERM, and its backend server was still at work in the
// last sixth of the grace.
const (
	earlyInStop     = 3 * time.Second
	lastPartOfGrace = stopGrace * 5 / 6
)

const (
	longPrefix   = "/long/"
	calledPrefix = "/called/"
	// browsePrefix is the prefix of long requests that clients pipeline.
	browsePrefix = "/browse/"
	// callMark precedes, in the ID of a call, the host whose backend server makes it. What
	// precedes it is the ID of the request that makes the call.
	callMark = ".from-"
)

// isLong reports whether a request is handled by runLong.
func isLong(target string) bool {
	return strings.HasPrefix(target, longPrefix) || strings.HasPrefix(target, calledPrefix) || strings.HasPrefix(target, browsePrefix)
}

// longClient sends long requests until the context ends, on one connection if
// keepsConnection is set.
func (w *world) longClient(ctx context.Context, h *host, keepsConnection bool) {
	sender := w.newSender(h, keepsConnection)
	defer sender.close()
	for i := 0; ctx.Err() == nil; i++ {
		one := call{id: fmt.Sprintf("%s.long-%t-%d", h.name, keepsConnection, i), target: longPrefix + "x", timeout: longTimeout}
		w.observe(h, &one, longTimeout+responseSlack, sender, http.MethodPost)
		w.recorder.recordCall(one)
		sleep(ctx, longPause)
	}
}

// runLong handles a long request or a call at a backend server. It stops work at the time
// limit that the request states.
func (w *world) runLong(h *host, name, id string, out http.ResponseWriter, r *http.Request) {
	began := time.Now()
	limit, limited := platformtest.TimeLimit(r.Header)
	if !limited {
		limit = longTimeout
	}
	work := minLongWork + time.Duration(hashID(id)%uint32((maxLongWork-minLongWork)/time.Millisecond))*time.Millisecond
	status := http.StatusOK
	if strings.HasPrefix(r.RequestURI, longPrefix) && hashID(id+"calls")%4 != 0 {
		time.Sleep(min(work/2, limit))
		if left := limit - time.Since(began); left > 0 && !w.callFrom(h, id, left) {
			status = http.StatusInternalServerError
		}
	}
	if limit < work {
		work, status = limit, http.StatusGatewayTimeout
	}
	time.Sleep(work - time.Since(began))
	platformtest.Sign(out.Header(), name)
	out.WriteHeader(status)
	// Writing fails only if the client has disconnected.
	_, _ = out.Write(responseBody(id))
}

// callFrom makes a call for a request that the host's backend server runs, and reports
// whether it succeeded.
func (w *world) callFrom(h *host, parent string, timeout time.Duration) bool {
	one := call{id: parent + callMark + h.name, target: calledPrefix + "x", timeout: min(timeout, longTimeout), isCall: true}
	w.observe(h, &one, one.timeout+responseSlack, w.newSender(h, false), http.MethodPost)
	w.recorder.recordCall(one)
	return one.err == nil && one.status == http.StatusOK
}

// mayBeCutOff reports whether the documented excuse holds for a call that a stop has met.
func (c *call) mayBeCutOff(arrivals []run) bool {
	ended := c.began.Add(c.duration)
	return countExecuted(arrivals) > 0 && c.began.Sub(c.stoppedAt) <= earlyInStop && ended.Sub(c.stoppedAt) >= lastPartOfGrace
}

// brokenOff reports whether the daemon gave an answer of its own while a backend server
// was at work on the call, before its timeout.
func (c *call) brokenOff(arrivals []run) bool {
	if c.err != nil || c.signed || c.timeout == 0 || c.duration >= c.timeout {
		return false
	}
	ended := c.began.Add(c.duration)
	for i := range arrivals {
		if one := &arrivals[i]; !one.rejected && (one.ended.IsZero() || one.ended.After(ended)) {
			return true
		}
	}
	return false
}

// isDialError reports whether a call failed because no connection was accepted.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
