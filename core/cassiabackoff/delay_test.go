package cassiabackoff

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPauseDoublesUpToItsBound(t *testing.T) {
	for _, test := range []struct {
		failures int
		want     time.Duration
	}{
		{0, 50 * time.Millisecond},
		{1, 100 * time.Millisecond},
		{3, 400 * time.Millisecond},
		{4, 500 * time.Millisecond},
		{1 << 30, 500 * time.Millisecond},
	} {
		qt.Check(t, Delay(50*time.Millisecond, 500*time.Millisecond, test.failures), qt.Equals, test.want)
	}
	qt.Check(t, Delay(time.Minute, time.Second, 0), qt.Equals, time.Second, qt.Commentf("the initial backoff is bounded as well"))
}
