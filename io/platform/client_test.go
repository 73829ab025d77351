package platform_test

import (
	"context"
	"errors"
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
