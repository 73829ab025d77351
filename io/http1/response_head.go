package http1

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The valid status codes (RFC 9110, section 15). net/http accepts 000 to 999 and "+99".
const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformedResponse is returned for bytes of a server that are not a response.
var ErrMalformedResponse = errors.New("http1: malformed response: check the server")

// CheckResponse returns an error that wraps ErrMalformedResponse for a response that
// net/http has accepted although its head is malformed.
func CheckResponse(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformedResponse, response.StatusCode)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		// No request of this system asks for another protocol.
		return fmt.Errorf("%w: status %d without a request for it", ErrMalformedResponse, response.StatusCode)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("%w: status line %q", ErrMalformedResponse, response.Status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error that wraps ErrMalformedResponse if the header or trailer of
// a response has a field whose name is malformed. net/http accepts blanks in names, and
// with "Transfer-Encoding : chunked" leaves the chunks in the body.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformedResponse, name)
		}
	}
	return nil
}
