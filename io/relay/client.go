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

// Client sends requests to the daemons beside other backend servers.
type Client struct {
	pool *http1.Pool
	// port at which all daemons accept requests of others.
	port string
	// report takes in the load that an answer carries.
	report func(placement.Report)
}

// NewClient returns a client. Daemons listen at the same port on every host.
func NewClient(pool *http1.Pool, port string, report func(placement.Report)) *Client {
	return &Client{pool: pool, port: port, report: report}
}

// Address returns where the daemon beside the backend server accepts requests.
func (c *Client) Address(server *backend.Server) (string, error) {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, c.port), nil
}

// Do hands the request to the daemon beside the backend server and returns the
// whole answer.
func (c *Client) Do(ctx context.Context, server *backend.Server, call Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	address, err := c.Address(server)
	if err != nil {
		return nil, refusal.Wrap(refusal.NoEndpoint, refusal.NotRun, err)
	}
	sent := *request
	sent.Header = request.Header.Clone()
	call.write(sent.Header)
	answer, err := c.pool.Do(ctx, address, &sent)
	if err != nil {
		return nil, failure(ctx, err)
	}
	if report, ok := parseLoad(answer.Header.Get(headerLoad)); ok {
		report.Server = server.ID
		c.report(report)
	}
	outcome, reason := answer.Header.Get(headerOutcome), refusal.Parse(answer.Header.Get(headerReason))
	if outcome == "" {
		return nil, refusal.Wrap(refusal.HopBroken, refusal.Unknown, errNoOutcome)
	}
	if reason != refusal.None {
		return nil, refusal.New(reason, parseOutcome(outcome))
	}
	return answer, nil
}

var errNoOutcome = errors.New("relay: the answer does not come from a daemon")

func parseOutcome(text string) refusal.Outcome {
	for outcome := refusal.Ran; outcome <= refusal.Unknown; outcome++ {
		if text == outcome.String() {
			return outcome
		}
	}
	return refusal.Unknown
}

// failure says what is known of a request that has no answer.
func failure(ctx context.Context, err error) *refusal.Error {
	outcome, reason := refusal.Unknown, refusal.HopBroken
	var failed *http1.SendError
	if errors.As(err, &failed) && !failed.Sent {
		outcome, reason = refusal.NotRun, refusal.ConnectFailed
	}
	if ctx.Err() != nil {
		reason = ContextReason(ctx)
	}
	return refusal.Wrap(reason, outcome, err)
}

// ContextReason returns why the context of a request has ended.
func ContextReason(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}
	return refusal.CallerGone
}
