package cassiagateway

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// silenceTimeout is how long a way may be without any answer while attempts are under way on it. It is longer than the
	// pauses of single targets. Attempts that usually take long may take silentFactor times as long as usual.
	silenceTimeout       = 250 * time.Millisecond
	silenceLatencyFactor = 4
	// minSilentTargets is how many targets have to be without an answer then, since a single one may be gone.
	minSilentTargets = 3
)

// linkKey names a way: a zone, and the VM there that sends the attempts, or none when this VM does.
type linkKey struct {
	zone       cassiaid.Zone
	aggregator cassiaid.VMName
}

// link is what the attempts on the targets of a zone tell of the network between. Without it, each of a cut-off zone's
// targets would cost requests of its own until it counts as unreachable.
type link struct {
	key linkKey
	// lastAnswer is when the last answer came.
	lastAnswer time.Time
	running    []*attempt
	// silent are the targets that did not answer since.
	silent map[cassiaid.TargetName]bool
}

func (g *Gateway) linkFor(key linkKey) *link {
	l := g.links[key]
	if l == nil {
		l = &link{key: key, silent: make(map[cassiaid.TargetName]bool)}
		g.links[key] = l
	}
	return l
}

// attemptStarted notes an attempt.
func (l *link) attemptStarted(a *attempt) { l.running = append(l.running, a) }

// attemptEnded notes the end of an attempt. A connection that broke tells nothing of the way.
func (l *link) attemptEnded(now time.Time, a *attempt, outcome Outcome) {
	l.running = without(l.running, a)
	switch outcome {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget, OutcomeUnfit:
		l.lastAnswer = now
		clear(l.silent)
	case OutcomeUnsent, OutcomeSilent:
		l.silent[a.target.Name] = true
	}
}

// silentAt returns when the way counts as silent unless an answer comes, or the zero time.
func (l *link) silentAt() time.Time {
	if len(l.running) == 0 {
		return time.Time{}
	}
	overdue := make(map[cassiaid.TargetName]time.Time)
	for _, a := range l.running {
		if a.sent.Before(l.lastAnswer) || l.silent[a.target.Name] {
			continue
		}
		at := a.sent.Add(max(silenceTimeout, silenceLatencyFactor*a.typical))
		if first, ok := overdue[a.target.Name]; !ok || at.Before(first) {
			overdue[a.target.Name] = at
		}
	}
	missing := max(1, minSilentTargets-len(l.silent))
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

// failSilentLinks gives up the ways that have been silent for too long.
func (g *Gateway) failSilentLinks(now time.Time) {
	for _, l := range g.sortedLinks() {
		if at := l.silentAt(); !at.IsZero() && !now.Before(at) {
			g.failLink(now, l)
		}
	}
}

// sortedLinks returns the ways in an order that does not depend on chance.
func (g *Gateway) sortedLinks() []*link {
	links := make([]*link, 0, len(g.links))
	for _, l := range g.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.key.zone, b.key.zone), cmp.Compare(a.key.aggregator, b.key.aggregator))
	})
	return links
}

// failLink ends all attempts on a way and has none begun on it until it is known to work again.
func (g *Gateway) failLink(now time.Time, l *link) {
	if l.key.aggregator != "" {
		g.backOffAggregator(now, l.key, OutcomeSilent)
	} else {
		g.emit(Noted{Event: EventZoneSilent, Zone: l.key.zone, Cause: OutcomeSilent})
		for _, t := range g.orderedTargets {
			if t.Zone == l.key.zone && !t.ejected() {
				t.eject(now)
			}
		}
	}
	clear(l.silent)
	for _, a := range l.running {
		if !a.cancelled {
			a.cancelled = true
			g.emit(Cancel{Attempt: a.id})
		}
	}
	// What is still under way does not count again.
	l.lastAnswer = now
}
