package cassiastatus

// head follows the bytes of a reply from its status line to that of the final reply. Its zero value is at the first byte.
type head struct {
	line line
	// interim is the number of interim replies so far.
	interim int
	// inFields is true from the status line of an interim reply to the empty line after its headers; fieldBytes is the number of bytes of
	// the current line, without carriage returns.
	inFields   bool
	fieldBytes int
	// final is true once the status of the final reply is complete.
	final bool
	err   *Error
}

// add checks the next bytes and returns how many of them come before the first one that shows that the reply is malformed.
func (h *head) add(p []byte) int {
	start := 0
	for i, b := range p {
		switch {
		case h.final:
			return len(p)
		case h.inFields:
			if h.addField(b) {
				start = i + 1
			}
		case !h.addStatus(b):
			// The error quotes the line as far as it is in these bytes.
			h.err = newError(p[start:], h.line.length == len(pattern) && h.interim > maxInterim)
			return i
		}
	}
	return len(p)
}

// addStatus checks the next byte of a status line and returns false if it shows that the reply is malformed.
func (h *head) addStatus(b byte) bool {
	done, valid := h.line.add(b)
	if !done || !valid {
		return valid
	}
	if !h.line.interim() {
		h.final = true
		return true
	}
	h.interim++
	// The byte is the end of the line or the start of its reason.
	h.inFields, h.fieldBytes = true, 1
	if b == '\n' {
		h.fieldBytes = 0
	}
	return h.interim <= maxInterim
}

// addField takes the next byte after the status of an interim reply, and returns true at the end of its headers.
func (h *head) addField(b byte) (ended bool) {
	switch {
	case b == '\r':
	case b != '\n':
		h.fieldBytes++
	case h.fieldBytes > 0:
		h.fieldBytes = 0
	default:
		h.inFields, h.line = false, line{}
		return true
	}
	return false
}
