package record

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"

	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/hop"
)

// maxHashedBytes is the largest request body that is compared by its hash.
const maxHashedBytes = 64 << 10

var errMessageRejected = errors.New("record: message rejected by the other daemon")

// fingerprint returns a hash that is equal for repeats of the request. A body of up
// to maxHashedBytes is buffered and stays readable.
func fingerprint(r *http.Request) (idempotency.Fingerprint, *refusal.Error) {
	sum := sha256.New()
	// Spaces and line breaks separate the fields: neither occurs in a method or an
	// escaped path.
	_, _ = fmt.Fprintf(sum, "%s %s\n%d\n", r.Method, r.URL.RequestURI(), r.ContentLength)
	if r.Body != nil && r.ContentLength > 0 && r.ContentLength <= maxHashedBytes {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return idempotency.Fingerprint{}, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
		}
		_, _ = sum.Write(body)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return idempotency.Fingerprint(sum.Sum(nil)[:len(idempotency.Fingerprint{})]), nil
}

// recordResponse finishes the claim of a call that ran. A small response is read
// completely and recorded. If it is large, chunked or has trailers, only the fact
// that the call ran is recorded.
func recordResponse(response *http.Response, finish func(refusal.Outcome, []byte)) (*http.Response, *refusal.Error) {
	if response.ContentLength < 0 || response.ContentLength > idempotency.MaxResultBytes || len(response.Trailer) > 0 {
		finish(refusal.Ran, nil)
		return response, nil
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		finish(refusal.Unknown, nil)
		return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, err)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	finish(refusal.Ran, encodeResponse(response, body))
	return response, nil
}

// encodeResponse returns the response in HTTP/1.1 format, which decodeResponse
// parses, or nil if it can't be encoded.
func encodeResponse(response *http.Response, body []byte) []byte {
	recorded := &http.Response{
		StatusCode: response.StatusCode, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)), Request: response.Request,
	}
	var out bytes.Buffer
	if err := recorded.Write(&out); err != nil {
		return nil
	}
	return out.Bytes()
}

// decodeResponse parses a recorded response and marks it as replayed.
func decodeResponse(result []byte) (*http.Response, *refusal.Error) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(result)), nil)
	if err != nil {
		return nil, refusal.Wrap(refusal.RecordUnavailable, refusal.Ran, err)
	}
	response.Header.Set(hop.HeaderReplayed, "true")
	return response, nil
}
