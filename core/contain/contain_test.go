package contain

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var errPlain = errors.New("plain")

// Guards against a panic that propagates, one that hides an error, and an error without
// the place of the panic.
func TestPanics(t *testing.T) {
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
	is.True(strings.Contains(Stack(err), "TestPanics"))
}
