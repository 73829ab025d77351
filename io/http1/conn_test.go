package http1

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a header that takes too long and is read on after its deadline: readers
// that buffer drop the first error behind a part of a line, and took what came next for a
// line of its own. The client got 400 instead of 408.
func TestReadDeadlineHoldsUntilTheNext(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := NewConn(near)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
	read := make([]byte, 8)
	_, err := conn.Read(read)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_, err = far.Write([]byte("late"))
	is.NoErr(err)
	for conn.Idle() {
		time.Sleep(time.Millisecond)
	}
	_, err = conn.Read(read)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	n, err := conn.Read(read)
	is.NoErr(err)
	is.Equal(string(read[:n]), "late")
}
