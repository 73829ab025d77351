package http1

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against malformed responses that a Transport returns, bodies that look complete
// although they are not, and against refusing responses for what precedes or follows them
// on their connection.
func TestTransport(t *testing.T) {
	const maxBytes = 8
	tests := []struct {
		name, response, body string
		want                 error
	}{
		{"whole", responseText("1", "body"), "body", nil},
		{"largest body", responseText("1", "12345678"), "12345678", nil},
		{"interim responses", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102  Processing\r\n\r\n" + responseText("1", "body"), "body", nil},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body", nil},
		{"bare line ends", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", "body", nil},
		{"longer body", responseText("1", "123456789"), "", ErrResponseBodyTooLarge},
		{"blank in name", "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 4\r\n\r\nbody", "", ErrMalformedResponse},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Good: v\r\n X-Bad: v\r\nContent-Length: 4\r\n\r\nbody", "", ErrMalformedResponse},
		{"blank in name of interim response", "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + responseText("1", "body"), "", ErrMalformedResponse},
		{"blank in trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Sum: 1\r\n\r\n", "", ErrMalformedResponse},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n" + responseText("1", "body"), "", ErrMalformedResponse},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\nbody", "", ErrMalformedResponse},
		{"other version", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", ErrMalformedResponse},
		{"encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", ErrMalformedResponse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			// The second response comes on the same connection.
			address, requests := startScriptedServer(t, responseText("1", "first"), test.response)
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			body, err := getBody(t, transport, address, maxBytes)
			is.NoErr(err)
			is.Equal(string(body), "first")
			body, err = getBody(t, transport, address, maxBytes)
			is.True(errors.Is(err, test.want))
			is.Equal(err == nil, test.want == nil)
			is.Equal(requests.Load(), int64(2))
			if test.want == nil {
				is.Equal(string(body), test.body)
			}
		})
	}
}

func getBody(t *testing.T, transport *Transport, address string, maxBytes int64) ([]byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return ReadBody(response, maxBytes)
}
