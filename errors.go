package daisygap

import "fmt"

// Error is a failure that carries the step and the peer at which it arose.
type Error struct {
	Step string
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause on one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// WrapError wraps a cause with its step and peer, and returns nil for a nil cause.
func WrapError(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// FieldError is a fault in a settings file, a configuration or a patch.
type FieldError struct {
	File  string
	Field string
	Want  string
	Got   string
}

// Error names the file, the field, what was expected and what was found.
func (e *FieldError) Error() string {
	place := e.Field
	if e.File != "" {
		place = e.File + ": " + e.Field
	}
	if e.Got == "" {
		return fmt.Sprintf("%s: expected %s", place, e.Want)
	}
	return fmt.Sprintf("%s: expected %s, found %s", place, e.Want, e.Got)
}
