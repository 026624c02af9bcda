package cassiaavailability

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
)

func TestParseStatement(t *testing.T) {
	for _, test := range []struct {
		name            string
		leaving, pauses []string
		want            Statement
	}{
		{name: "nothing"},
		{name: "leaving", leaving: []string{"1"}, want: Statement{Leaving: true}},
		{name: "not leaving", leaving: []string{"0"}},
		{name: "leaving in one of two values", leaving: []string{"", " true "}, want: Statement{Leaving: true}},
		{name: "fraction", pauses: []string{"0.25"}, want: Statement{Pause: 250 * time.Millisecond}},
		{name: "several", pauses: []string{"1", "3", "2"}, want: Statement{Pause: 3 * time.Second}},
		{name: "several, one of them bad", pauses: []string{"-4", "2"}, want: Statement{Pause: 2 * time.Second, Malformed: true}},
		{name: "a year", pauses: []string{"31536000"}, want: Statement{Pause: MaxPause}},
		{name: "zero", pauses: []string{"0"}},
		{name: "negative", pauses: []string{"-1"}, want: Statement{Malformed: true}},
		{name: "no number", pauses: []string{"soon"}, want: Statement{Malformed: true}},
		{name: "not a number", pauses: []string{"NaN"}, want: Statement{Malformed: true}},
		{name: "without end", pauses: []string{"Inf"}, want: Statement{Malformed: true}},
		{name: "huge", pauses: []string{"1e300"}, want: Statement{Malformed: true}},
		{name: "date", pauses: []string{"Fri, 04 Dec 2026 16:00:00 GMT"}, want: Statement{Malformed: true}},
		{name: "empty", pauses: []string{""}, want: Statement{Malformed: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := ParseStatement(test.leaving, test.pauses)
			c.Check(got, qt.Equals, test.want)
			c.Check(StatementFrom(got.Message()), qt.Equals, got)
		})
	}
}

// TestLaterProcessStartsWithoutStatements guards against a target that stays out of use after it was replaced, and against one that
// comes back into use with an older list.
func TestLaterProcessStartsWithoutStatements(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	var r Registry
	first, second := Process{Target: "t", StartUnixMillis: 10}, Process{Target: "t", StartUnixMillis: 20}
	c.Check(r.Observe(now, first, Statement{Leaving: true}), qt.IsTrue)
	c.Check(r.Observe(now, first, Statement{Leaving: true}), qt.IsFalse)
	c.Check(r.Leaving(first), qt.IsTrue)
	c.Check(r.Leaving(second), qt.IsFalse)
	c.Check(r.Observe(now, second, Statement{Pause: time.Second}), qt.IsTrue)
	// A request that is meant for the first process reaches the second.
	c.Check(r.Current(now, first), qt.Equals, Statement{Pause: time.Second})
	c.Check(r.Current(now.Add(24*time.Hour), first), qt.Equals, Statement{})
	c.Check(r.Leaving(Process{Target: "other"}), qt.IsFalse)
}

// TestRegistryForgetsTheProcessHeardFromLongestAgo guards against memory that grows with each target that was ever in use.
func TestRegistryForgetsTheProcessHeardFromLongestAgo(t *testing.T) {
	c := qt.New(t)
	var r Registry
	process := func(i int) Process { return Process{Target: cassiaid.TargetName(fmt.Sprint("t", i))} }
	for i := range maxRecords + 5 {
		r.Observe(time.Unix(int64(i), 0), process(i), Statement{Leaving: true})
	}
	c.Check(r.records, qt.HasLen, maxRecords)
	c.Check(r.Leaving(process(4)), qt.IsFalse)
	c.Check(r.Leaving(process(5)), qt.IsTrue)
}

// TestStatementsHold checks against a plain list of all statements: a target that has stated that it leaves is never used again, and
// one that has asked for a pause not before its latest end, whatever is heard in between.
func TestStatementsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		start := time.Unix(1_000, 0)
		now := start
		leaving := make(map[Process]bool)
		pausedUntil := make(map[Process]time.Time)
		for range rapid.IntRange(1, 40).Draw(t, "statements") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2_000).Draw(t, "ms")) * time.Millisecond)
			p := Process{Target: cassiaid.TargetName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")), StartUnixMillis: 1}
			s := Statement{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				Pause: time.Duration(rapid.IntRange(0, 3_000).Draw(t, "pause")) * time.Millisecond}
			r.Observe(now, p, s)
			leaving[p] = leaving[p] || s.Leaving
			if until := now.Add(s.Pause); s.Pause > 0 && until.After(pausedUntil[p]) {
				pausedUntil[p] = until
			}
			for known := range pausedUntil {
				if r.Current(now, known).Pause != max(0, pausedUntil[known].Sub(now)) {
					t.Fatalf("the pause of %v lasts %v, not until %v", known, r.Current(now, known).Pause, pausedUntil[known].Sub(start))
				}
			}
			if r.Leaving(p) != leaving[p] {
				t.Fatalf("%v leaves: %t, not %t", p, r.Leaving(p), leaving[p])
			}
		}
	})
}
