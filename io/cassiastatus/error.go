package cassiastatus

import (
	"bytes"
	"fmt"
)

// maxQuotedBytes limits what an Error quotes of a status line; it is enough for a version, a status and a short reason.
const maxQuotedBytes = 32

// Error is the error of a reply with a malformed status line.
type Error struct {
	// Line is the beginning of the status line, or of the last one after too many interim replies.
	Line string
	// Interim is true if there were too many interim replies.
	Interim bool
}

// newError returns the error of a reply whose status line begins with the given bytes.
func newError(line []byte, interim bool) *Error {
	line, _, _ = bytes.Cut(line, []byte("\n"))
	return &Error{Line: string(bytes.TrimRight(line[:min(len(line), maxQuotedBytes)], "\r")), Interim: interim}
}

// Error quotes the status line.
func (e *Error) Error() string {
	if e.Interim {
		return fmt.Sprintf("more than %d interim replies before a final one, the last with the status line %q", maxInterim, e.Line)
	}
	return fmt.Sprintf("malformed status line %q", e.Line)
}
