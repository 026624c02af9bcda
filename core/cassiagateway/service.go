package cassiagateway

import (
	"math"
	"slices"
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
)

const (
	// connectionShare is the share of a target's connections that the VMs divide among them. The rest is for connections
	// that a lost VM left open and for VMs that have just joined.
	connectionShare = 0.8
	// attemptsPerSlot is how many attempts all VMs together may have on a target for each of its slots: one running, one
	// on its way to the target, and twice that because requests are not spread evenly over the VMs.
	attemptsPerSlot = 4
)

// service is a group of interchangeable targets.
type service struct {
	name           cassiacatalog.ServiceName
	maxConnections int
	targets        []*target
	retryBudget    cassiabudget.Metered
	waiting        waitQueue
}

// concurrency returns how many attempts of this VM may run on a target. All VMs together keep the target's slots busy
// with a short queue in front of them; further attempts wait in the VMs, where they can still be dropped or sent to
// another target.
func (s *service) concurrency(t *target, vms int) int {
	vms = max(1, vms)
	wanted := int(math.Ceil(attemptsPerSlot * float64(max(1, t.Slots)) / float64(vms)))
	if s.maxConnections > 0 {
		wanted = min(wanted, int(float64(s.maxConnections)*connectionShare/float64(vms)))
	}
	return max(1, wanted)
}

// connectionsScarce reports whether each target accepts fewer connections than there are VMs, after the reserve of
// connectionShare.
func (s *service) connectionsScarce(vms int) bool {
	return s.maxConnections > 0 && float64(s.maxConnections)*connectionShare < float64(vms)
}

// placement is the result of choosing a target.
type placement int

const (
	placed placement = iota
	// busy means that the best reachable target has no room now.
	busy
	// unreachable means that every target is ejected, or there are none.
	unreachable
)

// placementInput is the input for choosing a target.
type placementInput struct {
	now time.Time
	// typical is the typical latency of the route's attempts.
	typical time.Duration
	// decayInterval is the half-life of the targets' measurements.
	decayInterval time.Duration
	vms           int
	// ahead is how many shards wait for the service before this one.
	ahead int
	// zone is the preferred zone, or empty.
	zone  cassiaid.Zone
	tried []*target
}

// pickTarget returns the target that is expected to answer first. If that one has no room, it returns busy rather than a
// slower target. Targets that were already tried for the shard come last.
func (s *service) pickTarget(in placementInput) (*target, placement) {
	best, _, free := s.earliest(in)
	switch {
	case best == nil:
		return nil, unreachable
	case !free:
		return nil, busy
	default:
		return best, placed
	}
}

// earliest returns the target that is expected to answer first, the expected time until its answer, and whether it has
// room now. The target is nil if all are ejected.
func (s *service) earliest(in placementInput) (*target, time.Duration, bool) {
	var best *target
	var bestScore, bestWait time.Duration
	bestFree := false
	for _, t := range s.targets {
		if t.ejected() {
			continue
		}
		room := s.concurrency(t, in.vms)
		free := len(t.running) < room
		duration := max(t.expected(in.now, in.typical, in.decayInterval), time.Millisecond)
		wait := duration
		if !free {
			wait += t.remaining(in.now, duration) + time.Duration(float64(in.ahead)*float64(duration)/float64(room))
		}
		score := wait
		if in.zone != "" && t.Zone != in.zone {
			score = time.Duration(otherZoneFactor * float64(score))
		}
		if t.stalled(in.now) {
			score += stallPenalty
		}
		if slices.Contains(in.tried, t) {
			score += triedPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore, bestWait, bestFree = t, score, wait, free
		}
	}
	return best, bestWait, bestFree
}

// allTargetsEjected reports whether the service has targets and all are ejected. It is false for a service without
// targets: other VMs could not serve it either.
func (s *service) allTargetsEjected() bool {
	for _, t := range s.targets {
		if !t.ejected() {
			return false
		}
	}
	return len(s.targets) > 0
}

const (
	// stallPenalty is added to the score of stalled targets and ranks them behind all others.
	stallPenalty = time.Second
	// triedPenalty is added to the score of targets that were already tried for the shard and ranks them behind stalled
	// ones.
	triedPenalty = time.Minute
)
