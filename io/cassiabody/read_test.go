package cassiabody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestBodiesOverALimitAreErrors guards against the start of a body over a limit being taken for all of it.
func TestBodiesOverALimitAreErrors(t *testing.T) {
	const limit = 100
	failure := errors.New("reset")
	for _, test := range []struct {
		name string
		body io.Reader
		want error
	}{
		{"empty", bytes.NewReader(nil), nil},
		{"at the limit", bytes.NewReader(make([]byte, limit)), nil},
		{"one byte over it", bytes.NewReader(make([]byte, limit+1)), ErrTooLong},
		{"without end", &endless{receiver: new(Receiver)}, ErrTooLong},
		{"breaks off", io.MultiReader(bytes.NewReader(make([]byte, limit)), iotest.ErrReader(failure)), failure},
	} {
		content, err := ReadAll(test.body, limit)
		qt.Check(t, err, qt.ErrorIs, test.want, qt.Commentf(test.name))
		qt.Check(t, err == nil || content == nil, qt.IsTrue, qt.Commentf(test.name))
	}
}
