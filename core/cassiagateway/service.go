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
	// healthPath is the path of the health check of its targets; empty if they have none.
	healthPath string
	// coldRate is the number of requests per second that a cold target of the service can handle; 0 if there is no bound.
	coldRate    cassiabudget.Rate
	targets     []*target
	retryBudget cassiabudget.Metered
	waiting     waitQueue
	// nextReturn is when the next caller may come back that was refused because of the rate that the targets accept.
	nextReturn time.Time
}

// concurrency returns how many attempts of this VM may run on a target. All VMs together keep the target's slots busy
// with a short queue in front of them; further attempts wait in the VMs, where they can still be dropped or sent to
// another target. Until the target has answered for the first time, this VM can't know whether it names a limit, and runs one attempt.
// It does the same after a pause.
func (s *service) concurrency(t *target, vms int) int {
	if !t.heard || t.onTrial {
		return 1
	}
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
	// unreachable means that every target is ejected or leaves, or there are none.
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
	// zones is the order in which zones of targets are preferred.
	zones zoneOrder
	tried []*target
	// unanswered holds the zones in which attempts of the same shard are still running; another zone is preferred for a hedge, since the
	// way there may be the reason.
	unanswered []cassiaid.Zone
	// allowed are the zones whose targets may be used.
	allowed zoneFilter
	// limitWait returns how long a request has to wait for a target because of what the target has stated, if a number of others are
	// sent to it before.
	limitWait func(t *target, ahead int) time.Duration
}

// candidate is the target that is expected to answer first.
type candidate struct {
	// target is nil if all targets are ejected or leave.
	target *target
	// wait is the expected time until its answer, and sendIn that until it can get the request because of what it has stated.
	wait, sendIn time.Duration
	// free is true if it has room now.
	free bool
}

// pickTarget returns the target that is expected to answer first. If that one has no room, it returns busy rather than a
// slower target. Targets that were already tried for the shard come last.
func (s *service) pickTarget(in placementInput) (*target, placement) {
	best := s.earliest(in)
	switch {
	case best.target == nil:
		return nil, unreachable
	case !best.free:
		return nil, busy
	default:
		return best.target, placed
	}
}

// earliest returns the target that is expected to answer first.
func (s *service) earliest(in placementInput) candidate {
	var best candidate
	var bestScore time.Duration
	for _, t := range s.targets {
		if !t.usable() || !in.allowed.allows(t.Zone) {
			continue
		}
		room := s.concurrency(t, in.vms)
		free := len(t.running) < room
		duration := max(t.expected(in.now, in.typical, in.decayInterval), time.Millisecond)
		wait := duration
		if !free {
			wait += t.remaining(in.now, duration) + time.Duration(float64(in.ahead)*float64(duration)/float64(room))
		}
		// The requests ahead are spread over the targets.
		sendIn := in.limitWait(t, in.ahead/len(s.targets))
		if sendIn > 0 {
			free = false
			wait = max(wait+t.pause(in.now), sendIn+duration)
		}
		factor := in.zones.factor(t.Zone)
		if slices.Contains(in.unanswered, t.Zone) {
			factor *= unansweredZoneFactor
		}
		if t.cold.bounded {
			factor *= coldFactor
		}
		score := time.Duration(min(factor*float64(wait), maxScore))
		if t.stalled(in.now) {
			score += stallPenalty
		}
		if slices.Contains(in.tried, t) {
			score += triedPenalty
		}
		if best.target == nil || score < bestScore {
			best, bestScore = candidate{target: t, wait: wait, sendIn: sendIn, free: free}, score
		}
	}
	return best
}

// allTargetsEjected reports whether the service has targets in allowed zones that do not leave, and all of these are ejected. It is false for a
// service without such targets: other VMs could not serve it either.
func (s *service) allTargetsEjected(allowed zoneFilter) bool {
	ejected := 0
	for _, t := range s.targets {
		switch {
		case t.leaving || !allowed.allows(t.Zone):
		case t.ejected():
			ejected++
		default:
			return false
		}
	}
	return ejected > 0
}

// maxScore bounds the scores of targets that this VM may not send to for a very long time. It leaves room for the penalties.
const maxScore = float64(math.MaxInt64 / 4)

const (
	// stallPenalty is added to the score of stalled targets and ranks them behind all others.
	stallPenalty = time.Second
	// unansweredZoneFactor multiplies the score of targets in zones in which attempts of the shard are running.
	unansweredZoneFactor = 2
	// triedPenalty is added to the score of targets that were already tried for the shard and ranks them behind stalled
	// ones.
	triedPenalty = time.Minute
)
