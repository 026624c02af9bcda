package cassiagateway

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// silentAfter is how long a way may be without any answer while attempts are under way on it. It is longer than the
	// pauses of single targets. Attempts that usually take long may take silentFactor times as long as usual.
	silentAfter  = 250 * time.Millisecond
	silentFactor = 4
	// silentTargets is how many targets have to be without an answer then, since a single one may be gone.
	silentTargets = 3
)

// wayKey names a way: a zone, and the VM there that sends the attempts, or none when this VM does.
type wayKey struct {
	zone cassiaid.Zone
	via  cassiaid.VMName
}

// way is what the attempts on the targets of a zone tell of the network between. Without it, each of a cut-off zone's
// targets would cost requests of its own until it counts as unreachable.
type way struct {
	key wayKey
	// heard is when the last answer came.
	heard   time.Time
	running []*attempt
	// silent are the targets that did not answer since.
	silent map[cassiaid.TargetName]bool
}

func (g *Gateway) wayOf(key wayKey) *way {
	w := g.ways[key]
	if w == nil {
		w = &way{key: key, silent: make(map[cassiaid.TargetName]bool)}
		g.ways[key] = w
	}
	return w
}

// began notes an attempt.
func (w *way) began(a *attempt) { w.running = append(w.running, a) }

// ended notes the end of an attempt. A connection that broke tells nothing of the way.
func (w *way) ended(now time.Time, a *attempt, outcome Outcome) {
	w.running = without(w.running, a)
	switch outcome {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget, OutcomeUnfit:
		w.heard = now
		clear(w.silent)
	case OutcomeUnsent, OutcomeSilent:
		w.silent[a.target.Name] = true
	}
}

// due returns when the way counts as silent unless an answer comes, or the zero time.
func (w *way) due() time.Time {
	if len(w.running) == 0 {
		return time.Time{}
	}
	overdue := make(map[cassiaid.TargetName]time.Time)
	for _, a := range w.running {
		if a.sent.Before(w.heard) || w.silent[a.target.Name] {
			continue
		}
		at := a.sent.Add(max(silentAfter, silentFactor*a.usual))
		if first, ok := overdue[a.target.Name]; !ok || at.Before(first) {
			overdue[a.target.Name] = at
		}
	}
	missing := max(1, silentTargets-len(w.silent))
	if len(overdue) < missing {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(overdue))
	for _, at := range overdue {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[missing-1]
}

// judgeWays gives up the ways that have been silent for too long.
func (g *Gateway) judgeWays(now time.Time) {
	for _, w := range g.waysInOrder() {
		if at := w.due(); !at.IsZero() && !now.Before(at) {
			g.giveUpWay(now, w)
		}
	}
}

// waysInOrder returns the ways in an order that does not depend on chance.
func (g *Gateway) waysInOrder() []*way {
	ways := make([]*way, 0, len(g.ways))
	for _, w := range g.ways {
		ways = append(ways, w)
	}
	slices.SortFunc(ways, func(a, b *way) int {
		return cmp.Or(cmp.Compare(a.key.zone, b.key.zone), cmp.Compare(a.key.via, b.key.via))
	})
	return ways
}

// giveUpWay ends all attempts on a way and has none begun on it until it is known to work again.
func (g *Gateway) giveUpWay(now time.Time, w *way) {
	if w.key.via != "" {
		g.doubtPath(now, w.key, OutcomeSilent)
	} else {
		g.emit(Noted{Event: EventZoneSilent, Zone: w.key.zone, Cause: OutcomeSilent})
		for _, t := range g.listed {
			if t.Zone == w.key.zone && !t.ejected() {
				t.eject(now)
			}
		}
	}
	clear(w.silent)
	for _, a := range w.running {
		if !a.cancelled {
			a.cancelled = true
			g.emit(Cancel{Attempt: a.id})
		}
	}
	// What is still under way does not count again.
	w.heard = now
}
