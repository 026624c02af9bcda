package cassiabody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestBodiesAreReceivedWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstPartBytes, firstPartBytes + 1, smallBytes, 3 * smallBytes, MaxBytes - 1} {
		content := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			var r Receiver
			received, err := r.Receive(bytes.NewReader(content), length)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, bytes.Equal(received, content), qt.IsTrue, qt.Commentf("%d bytes of length %d", size, length))
			qt.Check(t, r.Reserved(), qt.Equals, int64(0))
		}
	}
}

// TestBodiesThatBreakOffAreErrors guards against the error that a reader returns for a body that breaks off being taken for its end.
func TestBodiesThatBreakOffAreErrors(t *testing.T) {
	for _, size := range []int{0, 1, firstPartBytes, 3 * smallBytes} {
		for _, length := range []int64{int64(size) + 1, -1} {
			for _, failure := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
				var r Receiver
				_, err := r.Receive(io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(failure)), length)
				qt.Check(t, err, qt.ErrorIs, failure, qt.Commentf("%d bytes of length %d", size, length))
				qt.Check(t, r.Reserved(), qt.Equals, int64(0))
			}
		}
	}
}

// endless returns zeros, and records the most that a receiver reserves for them.
type endless struct {
	receiver *Receiver
	most     int64
}

func (e *endless) Read(p []byte) (int, error) {
	e.most = max(e.most, e.receiver.Reserved())
	return len(p), nil
}

// TestBodiesWithoutEndAreTooLong guards against a body without end, alone or beside others, that uses up the memory of a VM.
func TestBodiesWithoutEndAreTooLong(t *testing.T) {
	var r Receiver
	body := &endless{receiver: &r}
	_, err := r.Receive(body, -1)
	qt.Check(t, err, qt.ErrorIs, ErrTooLong)
	qt.Check(t, body.most < MaxBytes, qt.IsTrue)
	_, err = r.Receive(body, MaxBytes+1)
	qt.Check(t, err, qt.ErrorIs, ErrTooLong)
	r.reserved.Store(MaxReservedBytes - smallBytes)
	_, err = r.Receive(body, -1)
	qt.Check(t, err, qt.ErrorIs, ErrTooLong)
	qt.Check(t, body.most <= MaxReservedBytes, qt.IsTrue)
	qt.Check(t, r.Reserved(), qt.Equals, int64(MaxReservedBytes-smallBytes))
}
