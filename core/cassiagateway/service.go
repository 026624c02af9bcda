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
	// connectionShare is the part of a target's connections that the VMs divide among them; the rest is for connections
	// that a lost VM left behind and for VMs that have just joined.
	connectionShare = 0.8
	// attemptsPerSlot is how many attempts all VMs may have on a target for each of its slots: one at work, one on its way, and as
	// many again since the VMs are not asked evenly.
	attemptsPerSlot = 4
)

// service is a group of targets that answer alike.
type service struct {
	name           cassiacatalog.ServiceName
	maxConnections int
	targets        []*target
	retryBudget    cassiabudget.Metered
	waiting        waitQueue
}

// concurrency returns how many attempts of this VM may run on a target. Together the VMs keep a target's slots busy and a
// short queue before them; what does not fit waits in the VMs, where it can still be dropped or go elsewhere.
func (s *service) concurrency(t *target, vms int) int {
	vms = max(1, vms)
	wanted := int(math.Ceil(attemptsPerSlot * float64(max(1, t.Slots)) / float64(vms)))
	if s.maxConnections > 0 {
		wanted = min(wanted, int(float64(s.maxConnections)*connectionShare/float64(vms)))
	}
	return max(1, wanted)
}

// connectionsScarce is true when a target takes fewer connections than there are VMs.
func (s *service) connectionsScarce(vms int) bool {
	return s.maxConnections > 0 && float64(s.maxConnections)*connectionShare < float64(vms)
}

// placement is the result of looking for a target.
type placement int

const (
	placed placement = iota
	// busy means that targets can be reached and have no room now.
	busy
	// unreachable means that no target can be reached.
	unreachable
)

// placementInput is what a target is looked for.
type placementInput struct {
	now time.Time
	// typical is how long such an attempt usually takes.
	typical time.Duration
	// decayInterval is how long knowledge of targets lasts.
	decayInterval time.Duration
	vms           int
	// ahead is how many shards wait for the service before this one.
	ahead int
	// zone is where a target is preferred.
	zone  cassiaid.Zone
	tried []*target
}

// pickTarget picks the target that is expected to answer first, and tells that a target is busy if that one has no room yet.
// Targets that were tried already come last.
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

// earliest returns the target that is expected to answer earliest, in what time, and whether it has room now.
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

// allTargetsEjected is true when the service has targets and none of them counts as reachable. One without targets is no better at other
// VMs.
func (s *service) allTargetsEjected() bool {
	for _, t := range s.targets {
		if !t.ejected() {
			return false
		}
	}
	return len(s.targets) > 0
}

const (
	// stallPenalty puts targets that seem to pause behind all others.
	stallPenalty = time.Second
	// triedPenalty puts targets that a request was sent to before behind those.
	triedPenalty = time.Minute
)
