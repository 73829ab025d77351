// Package contain converts panics into errors, so that a panic while processing one
// message does not end the process. State that the function was modifying must not be
// used afterwards: a request's connection is closed, and an entry that cannot be
// decoded is rejected.
//
// # Usage
//
//	err := contain.Panics(func() error { return decode(value) })
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

// PanicError is the error for a recovered panic.
type PanicError struct {
	Value any
	// Stack is the stack trace of the panic.
	Stack string
}

// Error returns the panic's value and the remedy.
func (e *PanicError) Error() string {
	return fmt.Sprintf("recovered panic: %v: report it with the stack in the log", e.Value)
}

// FromRecover converts the result of recover into an error, or nil into nil.
func FromRecover(value any) error {
	if value == nil {
		return nil
	}
	return &PanicError{Value: value, Stack: string(debug.Stack())}
}

// Panics calls fn and returns its error, or its panic as a *PanicError.
func Panics(fn func() error) (err error) {
	defer func() {
		if contained := FromRecover(recover()); contained != nil {
			err = contained
		}
	}()
	return fn()
}

// Is reports whether err is a panic whose value is an error that matches value.
func Is(err, value error) bool {
	var panicked *PanicError
	if !errors.As(err, &panicked) {
		return false
	}
	cause, ok := panicked.Value.(error)
	return ok && errors.Is(cause, value)
}

// Stack returns the stack trace of the panic in err, or an empty string.
func Stack(err error) string {
	var panicked *PanicError
	if errors.As(err, &panicked) {
		return panicked.Stack
	}
	return ""
}
