package cli

import (
	"errors"
	"fmt"
	"strings"
)

// Exit codes of auburnctl, described by exitCodeTexts.
const (
	CodeOK               = 0
	CodeFailure          = 1
	CodeUsage            = 2
	CodeInvalid          = 3
	CodeConflict         = 4
	CodeOutcomeUnknown   = 5
	CodeNotInForce       = 6
	CodeUnreachable      = 7
	CodePartialResponse  = 8
	CodeNotFound         = 9
	CodePartiallyApplied = 10
)

var exitCodeTexts = []string{
	CodeOK:               "done",
	CodeFailure:          "refused or failed for another reason than those below",
	CodeUsage:            "the command line is wrong",
	CodeInvalid:          "the declarations or the change are invalid; nothing was changed",
	CodeConflict:         "others changed the settings meanwhile; nothing was changed",
	CodeOutcomeUnknown:   "the answer was lost; the change may have been applied",
	CodeNotInForce:       "the change was accepted and is not yet in force everywhere",
	CodeUnreachable:      "no server answered; nothing was changed",
	CodePartialResponse:  "the answer is incomplete, some instances could not be reached",
	CodeNotFound:         "no such node, instance or change",
	CodePartiallyApplied: "only some changes of a large load were accepted; run apply again to send the rest",
}

func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n\n")
	for code, text := range exitCodeTexts {
		fmt.Fprintf(&b, "  %d  %s\n", code, text)
	}
	return strings.TrimSpace(b.String())
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitErrorf formats an error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// exitCode returns the exit code of an error, or CodeFailure if it has none.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return CodeFailure
}
