package cassiaroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

func TestUnreachableNeedsSignsThatOutlastAPause(t *testing.T) {
	const silent, alive = "silent", "alive"
	type report struct {
		at   time.Duration
		kind string
	}
	ms := time.Millisecond
	tests := []struct {
		name    string
		reports []report
		at      time.Duration
		want    bool
	}{
		{"no report", nil, 0, false},
		{"one report", []report{{0, silent}}, 500 * ms, false},
		{"two reports close together", []report{{0, silent}, {50 * ms, silent}}, 60 * ms, false},
		{"reports for long enough", []report{{0, silent}, {100 * ms, silent}}, 100 * ms, true},
		{"message in between", []report{{0, silent}, {50 * ms, alive}, {100 * ms, silent}}, 100 * ms, false},
		{"message afterwards", []report{{0, silent}, {100 * ms, silent}, {110 * ms, alive}}, 110 * ms, false},
		{"reports too long ago", []report{{0, silent}, {100 * ms, silent}}, 1100 * ms, false},
		{"reports far apart", []report{{0, silent}, {1100 * ms, silent}}, 1100 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			table := NewTable("vm0", "z0", clock)
			start := clock.Now()
			for _, s := range test.reports {
				clock.Advance(start.Add(s.at).Sub(clock.Now()))
				if s.kind == alive {
					table.Update(OwnerReachable{Owner: "vm1"})
				} else {
					table.Update(OwnerUnreachable{Owner: "vm1"})
				}
			}
			clock.Advance(start.Add(test.at).Sub(clock.Now()))
			c.Assert(table.Unreachable("vm1"), qt.Equals, test.want)
			c.Assert(table.AnyUnreachable() || !test.want, qt.IsTrue)
		})
	}
}

func TestProbesOfAFrontAreSpaced(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	table := NewTable("vm0", "z0", clock)
	table.Update(SettingsChanged{Fronts: map[cassiaid.FrontKey]*cassiaschema.Front{testKey: testFront(1, 1, 1)}})
	c.Assert(table.TakeReachabilityProbe(testKey), qt.IsTrue)
	c.Assert(table.TakeReachabilityProbe(testKey), qt.IsFalse)
	clock.Advance(probeInterval)
	c.Assert(table.TakeReachabilityProbe(testKey), qt.IsTrue)
}
