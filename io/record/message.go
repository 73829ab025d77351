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

// hashedBytes is the size up to which a request body is compared by its hash.
const hashedBytes = 64 << 10

var errRefused = errors.New("record: the other daemon refuses the message")

// fingerprint identifies the request. It reads a small body and puts it back.
func fingerprint(r *http.Request) (idempotency.Fingerprint, *refusal.Error) {
	sum := sha256.New()
	// A space or a line break can't occur in a method or an escaped path.
	_, _ = fmt.Fprintf(sum, "%s %s\n%d\n", r.Method, r.URL.RequestURI(), r.ContentLength)
	if r.Body != nil && r.ContentLength > 0 && r.ContentLength <= hashedBytes {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return idempotency.Fingerprint{}, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
		}
		_, _ = sum.Write(body)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return idempotency.Fingerprint(sum.Sum(nil)[:len(idempotency.Fingerprint{})]), nil
}

// keep ends the claim of a call that ran. A small answer is read whole and
// recorded; of a large or chunked one only the fact is recorded.
func keep(response *http.Response, finish func(refusal.Outcome, []byte)) (*http.Response, *refusal.Error) {
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
	finish(refusal.Ran, encode(response, body))
	return response, nil
}

// encode writes the answer in the format of HTTP/1.1, which net/http reads
// back.
func encode(response *http.Response, body []byte) []byte {
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

// replay returns a recorded answer.
func replay(result []byte) (*http.Response, *refusal.Error) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(result)), nil)
	if err != nil {
		return nil, refusal.Wrap(refusal.RecordUnavailable, refusal.Ran, err)
	}
	response.Header.Set(hop.HeaderReplayed, "true")
	return response, nil
}
