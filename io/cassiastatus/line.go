package cassiastatus

import "net/http"

// maxInterim is the number of interim replies (1xx) that are skipped before a final one. A target has reason to send one or two of them,
// such as 100 and 103.
const maxInterim = 8

// maxStatus is the greatest status of the classes that HTTP defines.
const maxStatus = 599

const (
	// pattern is what a status line begins with; d stands for a digit, c for the first digit of a status, e for the end of a status.
	pattern = "HTTP/d.d cdde"
	// statusIndex is the position of the status in a status line.
	statusIndex = len(pattern) - len("cdde")
)

// line checks a status line byte by byte.
type line struct {
	// length is the number of bytes so far, of which all fit the pattern.
	length int
	status int
}

// add checks the next byte. It returns done once the status is complete, and valid as long as the line may be one that is well-formed.
func (l *line) add(b byte) (done, valid bool) {
	switch pattern[l.length] {
	case 'd':
		valid = b >= '0' && b <= '9'
	case 'c':
		valid = b >= '1' && b <= '5'
	case 'e':
		valid = (b == ' ' || b == '\r' || b == '\n') && l.status != http.StatusSwitchingProtocols
	default:
		valid = b == pattern[l.length]
	}
	if l.length >= statusIndex && l.length < len(pattern)-1 {
		l.status = 10*l.status + int(b-'0')
	}
	l.length++
	return l.length == len(pattern), valid
}

// interim reports whether the complete status is that of an interim reply.
func (l *line) interim() bool { return l.status < http.StatusOK }

// Valid reports whether a number is the status of a final reply.
func Valid(status int) bool { return status >= http.StatusOK && status <= maxStatus }
