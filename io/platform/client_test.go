package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/io/platform"
	standin "marjoramsaddle/standin/platform"
)

func startPlatform(t *testing.T) (*standin.Server, *platform.Client) {
	t.Helper()
	server, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server, platform.NewClient("http://" + server.Address())
}

// Guards against a client that misses a change between two reads, or that polls
// for a key that does not exist yet.
func TestReadWaitsForNextChange(t *testing.T) {
	is := is.New(t)
	server, client := startPlatform(t)
	server.Put("other", []byte("x"))
	missing, err := client.Read(context.Background(), manifest.Key)
	is.True(errors.Is(err, platform.ErrKeyNotFound))
	is.True(missing.Index > 0)
	after := missing.Index
	for _, content := range []string{"first", "second"} {
		read := make(chan platform.Value, 1)
		go func() {
			value, err := client.Read(context.Background(), manifest.Key, platform.After(after))
			if err == nil {
				read <- value
			}
		}()
		index := server.Put(manifest.Key, []byte(content))
		select {
		case value := <-read:
			is.Equal(string(value.Data), content)
			is.Equal(value.Index, id.Version(index))
			after = value.Index
		case <-time.After(10 * time.Second):
			t.Fatalf("%s was not read", content)
		}
	}
}

// Guards against an error response of the platform that is returned as a value.
func TestFailedReadReturnsError(t *testing.T) {
	is := is.New(t)
	server, client := startPlatform(t)
	index := server.Put(manifest.Key, []byte("first"))
	is.NoErr(server.SetFaults(standin.Faults{Outage: standin.OutageError}))
	_, err := client.Read(context.Background(), manifest.Key)
	var statusError *platform.StatusError
	is.True(errors.As(err, &statusError))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.NoErr(server.SetFaults(standin.Faults{}))
	_, err = client.Read(ctx, manifest.Key, platform.After(id.Version(index)))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against responses that are malformed, or longer than what is read of them, and
// are returned as values.
func TestInvalidResponsesAreErrors(t *testing.T) {
	entry := `[{"Key":"k","Value":"eA==","ModifyIndex":3}]`
	tests := []struct {
		name, head, body string
		valid            bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n", entry, true},
		{"blank in name", "HTTP/1.1 200 OK\r\nX Bad: v\r\n", entry, false},
		{"status 000", "HTTP/1.1 000 OK\r\n", entry, false},
		{"malformed absence", "HTTP/1.1 404 Not Found\r\nX-Consul-Index: 7\r\nX Bad: v\r\n", "", false},
		{"more than is read", "HTTP/1.1 200 OK\r\n", entry + strings.Repeat(" ", 2<<20), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", test.head, len(test.body), test.body)
			}()
			_, err = platform.NewClient("http://"+listener.Addr().String()).Read(context.Background(), "k")
			is.Equal(err == nil, test.valid)
			is.True(!errors.Is(err, platform.ErrKeyNotFound))
		})
	}
}
