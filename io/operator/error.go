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

// Kind tells the errors of the interface apart.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the daemon cannot answer now.
	Unavailable Kind = iota
	// NotFound means that the daemon does not know the proxy.
	NotFound
)

// The names of the errors in answers; they are those of the goa design.
const (
	nameUnavailable = "unavailable"
	nameNotFound    = "not_found"
	nameBadRequest  = "bad_request"
)

// Error is an error that a Source returns to the operator.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string
}

// Error returns the problem and the remedy.
func (e *Error) Error() string { return e.Problem + ": " + e.Remedy }

// faultOf converts an error of a Source to the error of the design. The text
// of an untyped error is passed on, because only operators can read it.
func faultOf(err error) *gen.Fault {
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

// faultBody is the JSON form of an error.
type faultBody struct {
	Name    string  `json:"name"`
	Problem string  `json:"problem"`
	Remedy  string  `json:"remedy"`
	Reason  *string `json:"reason,omitempty"`
	status  int
}

// StatusCode returns the HTTP status of the error.
func (b *faultBody) StatusCode() int { return b.status }

// formatError gives the errors of goa itself, such as a query that breaks a
// rule of the design, the same form as the errors of the design.
func formatError(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // goa names the type so.
	var fault *gen.Fault
	if errors.As(err, &fault) {
		return &faultBody{
			Name: fault.Name, Problem: fault.Problem, Remedy: fault.Remedy, Reason: fault.Reason,
			status: http.StatusServiceUnavailable,
		}
	}
	var rule *goa.ServiceError
	if errors.As(err, &rule) && !rule.Fault {
		return &faultBody{
			Name: nameBadRequest, Problem: rule.Message,
			Remedy: "correct the query", status: http.StatusBadRequest,
		}
	}
	return &faultBody{
		Name: nameUnavailable, Problem: err.Error(),
		Remedy: "look at the daemon's log", status: http.StatusInternalServerError,
	}
}
