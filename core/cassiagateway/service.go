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
	// slotsFactor is how many attempts all VMs may have on a target for each of its slots: one at work, one on its way, and as
	// many again since the VMs are not asked evenly.
	slotsFactor = 4
)

// service is a group of targets that answer alike.
type service struct {
	name           cassiacatalog.ServiceName
	maxConnections int
	targets        []*target
	extra          cassiabudget.Metered
	waiting        waitQueue
}

// concurrency returns how many attempts of this VM may run on a target. Together the VMs keep a target's slots busy and a
// short queue before them; what does not fit waits in the VMs, where it can still be dropped or go elsewhere.
func (s *service) concurrency(t *target, vms int) int {
	vms = max(1, vms)
	wanted := int(math.Ceil(slotsFactor * float64(max(1, t.Slots)) / float64(vms)))
	if s.maxConnections > 0 {
		wanted = min(wanted, int(float64(s.maxConnections)*connectionShare/float64(vms)))
	}
	return max(1, wanted)
}

// scarce is true when a target takes fewer connections than there are VMs.
func (s *service) scarce(vms int) bool {
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

// wish is what a target is looked for.
type wish struct {
	now time.Time
	// usual is how long such an attempt usually takes.
	usual time.Duration
	// forgetAfter is how long knowledge of targets lasts.
	forgetAfter time.Duration
	vms         int
	// ahead is how many shards wait for the service before this one.
	ahead int
	// zone is where a target is preferred.
	zone  cassiaid.Zone
	tried []*target
}

// place picks the target that is expected to answer first, and tells that a target is busy if that one has no room yet.
// Targets that were tried already come last.
func (s *service) place(w wish) (*target, placement) {
	best, _, free := s.first(w)
	switch {
	case best == nil:
		return nil, unreachable
	case !free:
		return nil, busy
	default:
		return best, placed
	}
}

// first returns the target that is expected to answer first, in what time, and whether it has room now.
func (s *service) first(w wish) (*target, time.Duration, bool) {
	var best *target
	var bestScore, bestWait time.Duration
	bestFree := false
	for _, t := range s.targets {
		if t.ejected() {
			continue
		}
		room := s.concurrency(t, w.vms)
		free := len(t.running) < room
		needs := max(t.expected(w.now, w.usual, w.forgetAfter), time.Millisecond)
		wait := needs
		if !free {
			wait += t.remaining(w.now, needs) + time.Duration(float64(w.ahead)*float64(needs)/float64(room))
		}
		score := wait
		if w.zone != "" && t.Zone != w.zone {
			score = time.Duration(preferFactor * float64(score))
		}
		if t.stalled(w.now) {
			score += stallPenalty
		}
		if slices.Contains(w.tried, t) {
			score += triedPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore, bestWait, bestFree = t, score, wait, free
		}
	}
	return best, bestWait, bestFree
}

// cutOff is true when the service has targets and none of them counts as reachable. One without targets is no better at other
// VMs.
func (s *service) cutOff() bool {
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
