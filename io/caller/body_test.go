package caller

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a retry that sends a damaged body because the transport still
// reads the body of the failed attempt.
func TestAttemptsDoNotShareBody(t *testing.T) {
	for _, size := range []int{10, maxReplayBytes + 1} {
		is := is.New(t)
		text := strings.Repeat("x", size)
		body, refused := newReplayBody(httptest.NewRequest("POST", "/", strings.NewReader(text)), 1<<20)
		is.True(refused == nil)
		first := body.open()
		is.True(body.rewind())
		second := body.open()
		_, err := first.Read(make([]byte, 5))
		is.True(err == nil || errors.Is(err, errAttemptEnded))
		got, err := io.ReadAll(second)
		is.NoErr(err)
		is.Equal(len(got), size)
		is.Equal(body.rewind(), size == 10) // a streamed body has been consumed
	}
}
