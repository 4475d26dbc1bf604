package cli

import (
	"errors"
	"fmt"
	"strings"
)

// Exit codes.
const (
	CodeOK          = 0
	CodeFailure     = 1
	CodeUsage       = 2
	CodeInvalid     = 3
	CodeConflict    = 4
	CodeUnknown     = 5
	CodeNotInForce  = 6
	CodeUnreachable = 7
	CodePartial     = 8
	CodeNotFound    = 9
	CodeIncomplete  = 10
)

var codeTexts = []string{
	CodeOK:          "done",
	CodeFailure:     "refused or failed for another reason than those below",
	CodeUsage:       "the command line is wrong",
	CodeInvalid:     "the declarations or the change are invalid; nothing was changed",
	CodeConflict:    "others changed the settings meanwhile; nothing was changed",
	CodeUnknown:     "the answer was lost; the change may have been applied",
	CodeNotInForce:  "the change was accepted and is not yet in force everywhere",
	CodeUnreachable: "no server answered; nothing was changed",
	CodePartial:     "the answer is incomplete, some instances could not be reached",
	CodeNotFound:    "no such node, instance or change",
	CodeIncomplete:  "only some changes of a large load were accepted; run apply again to send the rest",
}

func codeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n\n")
	for code, text := range codeTexts {
		fmt.Fprintf(&b, "  %d  %s\n", code, text)
	}
	return strings.TrimSpace(b.String())
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

func codeOf(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return CodeFailure
}
