package operator

import (
	"context"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"marjoramsaddle/core/refusal"
	gen "marjoramsaddle/gen/operator"
)

// Kind classifies an Error; it determines its HTTP status.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the daemon cannot answer the request now.
	Unavailable Kind = iota
	// NotFound means that the requested proxy does not exist.
	NotFound
)

// The error names in responses. They are defined in the goa design.
const (
	nameUnavailable = "unavailable"
	nameNotFound    = "not_found"
	nameBadRequest  = "bad_request"
)

// Error is an error of a LocalDaemon with a remedy for the operator.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string
}

// Error returns the problem and the remedy, separated by a colon.
func (e *Error) Error() string { return e.Problem + ": " + e.Remedy }

// newFault converts an error of a LocalDaemon to the error type of the design. The
// text of an untyped error is included, because only operators can read it.
func newFault(err error) *gen.Fault {
	var known *Error
	if errors.As(err, &known) {
		return &gen.Fault{Name: known.Kind.name(), Problem: known.Problem, Remedy: known.Remedy}
	}
	if refused := refusal.Of(err); refused != nil {
		reason := refused.Reason.String()
		return &gen.Fault{
			Name: nameUnavailable, Problem: "refused: " + reason,
			Remedy: refused.Reason.Remedy(), Reason: &reason,
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &gen.Fault{Name: nameUnavailable, Problem: "no answer before the deadline", Remedy: "retry, or look at the daemon's log"}
	}
	return &gen.Fault{Name: nameUnavailable, Problem: err.Error(), Remedy: "look at the daemon's log"}
}

func (k Kind) name() string {
	if k == NotFound {
		return nameNotFound
	}
	return nameUnavailable
}

// errorBody is the JSON encoding of an error.
type errorBody struct {
	Name    string  `json:"name"`
	Problem string  `json:"problem"`
	Remedy  string  `json:"remedy"`
	Reason  *string `json:"reason,omitempty"`
	status  int
}

// StatusCode returns the HTTP status of the error.
func (b *errorBody) StatusCode() int { return b.status }

// formatError converts errors of goa itself, such as a query that violates the
// design, to the same encoding as the errors of the design.
func formatError(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // goa names the type so.
	var fault *gen.Fault
	if errors.As(err, &fault) {
		return &errorBody{
			Name: fault.Name, Problem: fault.Problem, Remedy: fault.Remedy, Reason: fault.Reason,
			status: http.StatusServiceUnavailable,
		}
	}
	var invalid *goa.ServiceError
	if errors.As(err, &invalid) && !invalid.Fault {
		return &errorBody{
			Name: nameBadRequest, Problem: invalid.Message,
			Remedy: "correct the query", status: http.StatusBadRequest,
		}
	}
	return &errorBody{
		Name: nameUnavailable, Problem: err.Error(),
		Remedy: "look at the daemon's log", status: http.StatusInternalServerError,
	}
}
