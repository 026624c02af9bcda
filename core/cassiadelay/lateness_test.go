package cassiadelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "cassiasaddle/test/cassiaseed"
)

func TestLatenessIgnoresClockDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		skew := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "skew"))
		base := time.Duration(rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "base"))
		var l Lateness
		l.Observe(start.Add(base), start.Add(skew))
		late := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "late"))
		sent := start.Add(time.Second)
		if got := l.Observe(sent.Add(base+late), sent.Add(skew)); got != late {
			t.Fatalf("lateness %v, want %v", got, late)
		}
	})
}

func TestLatenessFollowsDrift(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	var l Lateness
	drift := time.Duration(0)
	for i := range 600 {
		sent := start.Add(time.Duration(i) * time.Second)
		drift += 50 * time.Microsecond
		late := l.Observe(sent.Add(drift), sent)
		c.Assert(late <= 4*time.Millisecond, qt.IsTrue, qt.Commentf("second %d: %v", i, late))
	}
}
