package relay

import (
	"context"
	"errors"
	"net"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
)

// Client sends requests to the daemons on other hosts.
type Client struct {
	pool *http1.Pool
	// port is where every daemon accepts requests from the others.
	port string
	// report receives the load report of each response.
	report func(placement.Report)
	// sending is called with the size of the body of each request.
	sending func(bodyBytes int)
}

// NewClient returns a client. Daemons listen on the same port on every host. The function
// sending is called with the size of the body of each request that is sent.
func NewClient(pool *http1.Pool, port string, report func(placement.Report), sending func(bodyBytes int)) *Client {
	return &Client{pool: pool, port: port, report: report, sending: sending}
}

// Address returns the address of the daemon on the backend server's host.
func (c *Client) Address(server *backend.Server) (string, error) {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, c.port), nil
}

// Do sends the request to the daemon on the backend server's host and returns the
// complete response.
func (c *Client) Do(ctx context.Context, server *backend.Server, call Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	address, err := c.Address(server)
	if err != nil {
		return nil, refusal.Wrap(refusal.NoEndpoint, refusal.NotRun, err)
	}
	outgoing := *request
	outgoing.Header = request.Header.Clone()
	call.write(outgoing.Header)
	c.sending(len(outgoing.Body))
	response, err := c.pool.Do(ctx, address, &outgoing)
	if err != nil {
		return nil, refusalFor(ctx, err)
	}
	if report, ok := parseLoad(response.Header.Get(headerLoad)); ok {
		report.Server = server.ID
		c.report(report)
	}
	outcome, reason := response.Header.Get(headerOutcome), refusal.Parse(response.Header.Get(headerReason))
	if outcome == "" {
		return nil, refusal.Wrap(refusal.HopBroken, refusal.Unknown, errNoOutcome)
	}
	if reason != refusal.None {
		return nil, &refusal.Error{Reason: reason, Outcome: parseOutcome(outcome), RetryAfter: readRetryAfter(response.Header)}
	}
	return response, nil
}

var errNoOutcome = errors.New("relay: response does not come from a daemon: it has no outcome header")

// parseOutcome returns the outcome of that name, or Unknown.
func parseOutcome(text string) refusal.Outcome {
	for outcome := refusal.Ran; outcome <= refusal.Unknown; outcome++ {
		if text == outcome.String() {
			return outcome
		}
	}
	return refusal.Unknown
}

// refusalFor returns the refusal of a request for which the pool returned err.
func refusalFor(ctx context.Context, err error) *refusal.Error {
	outcome, reason := refusal.Unknown, refusal.HopBroken
	var sendErr *http1.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		outcome, reason = refusal.NotRun, refusal.ConnectFailed
	}
	switch {
	case ctx.Err() != nil:
		reason = ContextReason(ctx)
	case errors.Is(err, http1.ErrBodyEnded):
		// The fault is neither the server's nor the link's.
		reason = refusal.CallerGone
	}
	return refusal.Wrap(reason, outcome, err)
}

// ContextReason returns the refusal reason for a request whose context has ended.
func ContextReason(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}
	return refusal.CallerGone
}
