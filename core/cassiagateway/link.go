package cassiagateway

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// silenceTimeout is how long a link may go without any answer while attempts are running on it. It is longer than a
	// single target usually pauses. An attempt whose typical duration is long may take silenceLatencyFactor times that
	// duration.
	silenceTimeout       = 250 * time.Millisecond
	silenceLatencyFactor = 4
	// minSilentTargets is how many targets must have left attempts unanswered for that long before the link is
	// considered down, since a single target may be down itself.
	minSilentTargets = 3
	// minSilentAggregators is how many aggregators of a zone have to be silent at the same time before the zone counts as out of reach.
	// A single one may have ended.
	minSilentAggregators = 2
	// maxPatienceDoublings bounds the growth of the limit. Attempts hardly run longer than that allows, since their requests have
	// deadlines.
	maxPatienceDoublings = 6
)

// linkKey identifies a link: the zone of the targets, and the VM in that zone that sends the attempts; aggregator is
// empty when this VM sends them itself.
type linkKey struct {
	zone       cassiaid.Zone
	aggregator cassiaid.VMName
}

// link tracks the attempts to one zone to detect that the network to it, or its aggregator, is down. Without it, the
// targets of an unreachable zone would be ejected one by one, each only after it had failed requests.
type link struct {
	key linkKey
	// lastAnswer is when the last answer arrived, or when failLink was last called for the link.
	lastAnswer time.Time
	running    []*attempt
	// failures is how often failLink was called for the link since the last answer. Targets that take longer than they typically did
	// are told from a link that is down by the answers that come when attempts may take longer; the limit doubles with each failure.
	failures int
	// silent holds the targets with an attempt that ended without an answer since lastAnswer.
	silent map[cassiaid.TargetName]bool
	// silentFrom is the result of the last computation of silentAt; it holds until an attempt starts or ends.
	silentFrom  time.Time
	silentKnown bool
}

func (g *Gateway) linkFor(key linkKey) *link {
	l := g.links[key]
	if l == nil {
		l = &link{key: key, silent: make(map[cassiaid.TargetName]bool)}
		g.links[key] = l
	}
	return l
}

// attemptStarted adds a running attempt.
func (l *link) attemptStarted(a *attempt) {
	l.running = append(l.running, a)
	l.silentKnown = false
}

// attemptEnded removes an attempt and records its outcome. A broken connection is evidence neither for nor against the
// link.
func (l *link) attemptEnded(now time.Time, a *attempt, outcome Outcome) {
	l.running = without(l.running, a)
	l.silentKnown = false
	switch outcome {
	case OutcomeAnswered, OutcomeFailed, OutcomeRejected, OutcomeWrongTarget, OutcomeUnfit:
		l.lastAnswer, l.failures = now, 0
		clear(l.silent)
	case OutcomeUnsent, OutcomeSilent:
		l.silent[a.target.Name] = true
	}
}

// patience returns how long an attempt may go without an answer before its target counts as silent.
func (l *link) patience(a *attempt) time.Duration {
	return max(silenceTimeout, silenceLatencyFactor*a.typical) << min(l.failures, maxPatienceDoublings)
}

// silentAt returns when the link counts as silent unless an answer arrives first, or the zero time if too few targets
// are waiting for one.
func (l *link) silentAt() time.Time {
	if !l.silentKnown {
		l.silentFrom, l.silentKnown = l.computeSilentAt(), true
	}
	return l.silentFrom
}

func (l *link) computeSilentAt() time.Time {
	missing := max(1, minSilentTargets-len(l.silent))
	if len(l.running) < missing {
		return time.Time{}
	}
	silentFrom := make(map[cassiaid.TargetName]time.Time)
	for _, a := range l.running {
		if a.sentAt.Before(l.lastAnswer) || l.silent[a.target.Name] {
			continue
		}
		at := a.sentAt.Add(l.patience(a))
		if first, ok := silentFrom[a.target.Name]; !ok || at.Before(first) {
			silentFrom[a.target.Name] = at
		}
	}
	if len(silentFrom) < missing {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(silentFrom))
	for _, at := range silentFrom {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[missing-1]
}

// failSilentLinks fails the links that have been silent for too long.
func (g *Gateway) failSilentLinks(now time.Time) {
	var failed []*link
	for _, l := range g.sortedLinks() {
		if at := l.silentAt(); !at.IsZero() && !now.Before(at) {
			failed = append(failed, l)
		}
	}
	for _, zone := range g.silentZones(now, failed) {
		g.ejectZone(now, zone)
		for _, l := range failed {
			if l.key.zone == zone {
				l.cutOff()
			}
		}
	}
	for _, l := range failed {
		g.failLink(now, l)
	}
}

// silentZones returns the zones that can't be reached, judging by links that failed together: several of their aggregators are silent, and
// no target there has answered by another way either.
func (g *Gateway) silentZones(now time.Time, failed []*link) []cassiaid.Zone {
	silent := make(map[cassiaid.Zone]int)
	for _, l := range failed {
		if l.key.aggregator != "" {
			silent[l.key.zone]++
		}
	}
	var zones []cassiaid.Zone
	for _, l := range failed {
		zone := l.key.zone
		if silent[zone] < minSilentAggregators || slices.Contains(zones, zone) {
			continue
		}
		heard := slices.ContainsFunc(g.sortedLinks(), func(other *link) bool {
			return other.key.zone == zone && !slices.Contains(failed, other) && now.Sub(other.lastAnswer) < silenceTimeout
		})
		if !heard {
			zones = append(zones, zone)
		}
	}
	return zones
}

// cutOff records that the attempts on a link went to a zone that can't be reached, so that their shards may be sent to another target
// instead, beyond the route's MaxAttempts. The retry budget pays for that.
func (l *link) cutOff() {
	for _, a := range l.running {
		a.shard.cutOff++
	}
}

// sortedLinks returns the links ordered by zone and aggregator, so that the order of effects is deterministic.
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

// failLink cancels all attempts on a link. For a link through an aggregator it backs off from the aggregator; for a
// direct one it ejects all targets of the zone until health checks are answered.
func (g *Gateway) failLink(now time.Time, l *link) {
	if l.key.aggregator != "" {
		g.backOffAggregator(now, l.key, OutcomeSilent)
	} else {
		g.ejectZone(now, l.key.zone)
	}
	clear(l.silent)
	for _, a := range l.running {
		if !a.cancelled {
			a.cancelled = true
			g.emit(Cancel{Attempt: a.id})
		}
	}
	// Attempts that are still running must not count as silent again.
	l.lastAnswer = now
	l.failures++
	l.silentKnown = false
}
