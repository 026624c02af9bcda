package cassiastatus

import (
	"bufio"
	"net/http"
)

// ReadResponse reads the status line and headers of a reply, as http.ReadResponse does. It skips interim replies. The error of a malformed
// status line, which is returned as soon as its first bytes tell, is an *Error. The buffer of r must hold maxQuotedBytes at least.
func ReadResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for interim := 0; ; interim++ {
		isInterim, err := peek(r, interim)
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(r, request)
		if err != nil || !isInterim {
			return response, err
		}
	}
}

// peek checks the status line that comes next and reports whether its status is that of an interim reply; skipped is the number of interim
// replies before it.
func peek(r *bufio.Reader, skipped int) (interim bool, err error) {
	var l line
	for {
		next, err := r.Peek(l.length + 1)
		if err != nil {
			return false, err
		}
		done, valid := l.add(next[len(next)-1])
		tooMany := done && l.interim() && skipped == maxInterim
		if !valid || tooMany {
			buffered, _ := r.Peek(max(l.length, min(r.Buffered(), maxQuotedBytes)))
			return false, newError(buffered, valid)
		}
		if done {
			return l.interim(), nil
		}
	}
}
