// Package contain keeps a panic in the work on one message from ending the
// process. What the work was about to change must not be used further: work on a
// request gives up its connection, and an entry that cannot be decoded is
// refused.
//
// Usage:
//
//	err := contain.Call(func() error { return decode(value) })
//	var panicked *contain.PanicError
//	if errors.As(err, &panicked) {
//		log.Error("decoding failed", panicked.Stack)
//	}
package contain

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// PanicError is a panic that was contained.
type PanicError struct {
	Value any
	// Stack is where it happened.
	Stack string
}

// Error returns the value and the remedy.
func (e *PanicError) Error() string {
	return fmt.Sprintf("unexpected failure: %v: report it with the stack in the log", e.Value)
}

// FromRecover turns what recover returned into an error, nil included.
func FromRecover(value any) error {
	if value == nil {
		return nil
	}
	return &PanicError{Value: value, Stack: string(debug.Stack())}
}

// Panics runs the work and returns its error, or its panic as a *PanicError.
func Panics(work func() error) (err error) {
	defer func() {
		if failed := FromRecover(recover()); failed != nil {
			err = failed
		}
	}()
	return work()
}

// Is reports whether err is a panic with the given error as its value.
func Is(err, value error) bool {
	var panicked *PanicError
	if !errors.As(err, &panicked) {
		return false
	}
	cause, ok := panicked.Value.(error)
	return ok && errors.Is(cause, value)
}

// Stack returns where the panic behind err happened, or an empty text.
func Stack(err error) string {
	var panicked *PanicError
	if errors.As(err, &panicked) {
		return panicked.Stack
	}
	return ""
}
