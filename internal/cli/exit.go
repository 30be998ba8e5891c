package cli

import (
	"errors"
	"flag"

	"github.com/rotisserie/eris"
)

// Exit codes of every command.
const (
	ExitOK          = 0 // done, or the answer is yes
	ExitNo          = 1 // the answer is no
	ExitUsage       = 2 // the command line or an input is wrong
	ExitUnreachable = 3 // a node or the platform does not answer
)

// ExitError is an error that carries the exit code of the process.
type ExitError struct {
	// Code is one of the exit codes.
	Code int
	// Err is what to tell the operator; nil means that all has been said.
	Err error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// No returns an error for an answer that is no and has been printed.
func No() error {
	return &ExitError{Code: ExitNo}
}

// Usage returns an error for a wrong command line or input.
func Usage(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: eris.Errorf(format, args...)}
}

// Unreachable returns an error for something that does not answer.
func Unreachable(err error) error {
	return &ExitError{Code: ExitUnreachable, Err: err}
}

// exitCode returns the exit code of an error. Errors without one, such as those
// of the flag parser, are errors of usage.
func exitCode(err error) int {
	var coded *ExitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	default:
		return ExitUsage
	}
}
