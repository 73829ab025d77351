package contain

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var errPlain = errors.New("plain")

// Guards against a panic that passes on, one that hides an error, and a report
// that does not say where it happened.
func TestCall(t *testing.T) {
	is := is.New(t)
	is.NoErr(Panics(func() error { return nil }))
	is.Equal(Panics(func() error { return errPlain }), errPlain)
	is.Equal(Stack(errPlain), "")
	err := Panics(func() error {
		panic(errPlain)
	})
	is.True(Is(err, errPlain))
	is.True(!Is(errPlain, errPlain))
	var panicked *PanicError
	is.True(errors.As(err, &panicked))
	is.True(strings.Contains(Stack(err), "TestCall"))
}
