package daisygap

import "fmt"

// Error is an error with the step that failed and the peer or file concerned.
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

// WrapError wraps an error with its step and peer. It returns nil for a nil error.
func WrapError(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// FieldError is an invalid value in a settings file, a configuration or a patch.
type FieldError struct {
	File  string
	Field string
	Want  string
	Got   string
}

// Error returns the file, the field, the expected value and the value found.
func (e *FieldError) Error() string {
	location := e.Field
	if e.File != "" {
		location = e.File + ": " + e.Field
	}
	if e.Got == "" {
		return fmt.Sprintf("%s: expected %s", location, e.Want)
	}
	return fmt.Sprintf("%s: expected %s, found %s", location, e.Want, e.Got)
}
