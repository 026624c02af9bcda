package cassiabadreply

import (
	"io"
	"time"
)

// Fault is the malformed status of a reply, or EndlessInterim.
type Fault string

// EndlessInterim stands for interim replies without a final one.
const EndlessInterim Fault = "endlessInterim"

// interimPause is the time between two interim replies. It is long enough for their bytes alone to stay below the limit for the head of a
// reply for many seconds.
const interimPause = 5 * time.Millisecond

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{"000", "001", "099", "+20", "-20", "20", "2x0", "0200", "600", "999", "101", EndlessInterim}
}

// Send sends a reply with the fault; rest is what follows the status line. EndlessInterim returns only when the peer has closed the
// connection.
func (f Fault) Send(w io.Writer, rest string) error {
	if f != EndlessInterim {
		_, err := io.WriteString(w, "HTTP/1.1 "+string(f)+" Status\r\n"+rest)
		return err
	}
	for {
		if _, err := io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
			return err
		}
		time.Sleep(interimPause)
	}
}
