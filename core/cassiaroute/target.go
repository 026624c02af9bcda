package cassiaroute

import (
	"math"
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
	"cassiasaddle/core/cassiaschema"
)

const (
	// defaultLeavingDuration is how long a sign of leaving lasts unless it says otherwise.
	defaultLeavingDuration = time.Minute
	// firstUnreachableEjection is the first ejection after a refused connection.
	firstUnreachableEjection = time.Second
	// firstFailureEjection is the first ejection for failures, slowBase that for slowness.
	firstFailureEjection = 2 * time.Second
	firstSlowEjection    = 20 * time.Second
	maxEjection          = time.Minute
	// ejectionResetAfter is how long a target must behave before its ejections start from the base again.
	ejectionResetAfter = 2 * time.Minute
	// unansweredToEject is the number of attempts in a row, given up late, that eject a target which answers none.
	unansweredToEject = 5
	// unansweredFactor is how many times the peers' latency an attempt has had before giving it up counts.
	unansweredFactor = 2
	// fasterFactor is how many times faster an open replica has to be for a slow one to stay out of use.
	fasterFactor = 2
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
)

// condition tells how much a target may be used.
type condition int

const (
	conditionOpen condition = iota
	// conditionAvoided targets are used only when their shard has no open one.
	conditionAvoided
	// conditionClosed targets get no work.
	conditionClosed
)

// target is what a Table knows of one target.
type target struct {
	name          cassiaid.TargetName
	shards        []*shard
	snapshots     []cassiaid.Snapshot
	shardMapEpoch cassiaid.Epoch
	load          int

	latency                   cassialatency.Latency
	medianLatency, p95Latency time.Duration
	// shedShare is the recent share of attempts refused for load, as of shedAt.
	shedShare   float64
	shedShareAt time.Time

	leavingUntil     time.Time
	peerNoticeUntil  time.Time
	onPlatformList   bool
	avoidedForHealth bool
	// wasUnreachable is true once a leaving target could not be reached: when it can be again, it is a new process.
	wasUnreachable bool

	ejectedUntil time.Time
	ejections    int
	failures     int
	// lastEjectReason is why the target was ejected last.
	lastEjectReason EjectReason
	// unanswered counts the attempts given up since the last answer.
	unanswered  int
	nextTrialAt time.Time
}

// shard is one shard of a front and the targets that hold it.
type shard struct {
	front    *front
	replicas []*target
}

func (t *target) condition(now time.Time) condition {
	if t.onPlatformList || now.Before(t.leavingUntil) {
		return conditionClosed
	}
	if t.avoidedForHealth || now.Before(t.ejectedUntil) || now.Before(t.peerNoticeUntil) {
		return conditionAvoided
	}
	return conditionOpen
}

// usable tells whether a query may be sent to the target: it is open, due for a trickle, the last resort of a shard, or
// ejected for slowness while the open replicas of a shard are no faster.
func (t *target) usable(now time.Time) bool {
	switch t.condition(now) {
	case conditionOpen:
		return true
	case conditionClosed:
		return false
	}
	if t.trialDue(now) {
		return true
	}
	ejectedForLatency := t.ejectedForLatency(now)
	for _, s := range t.shards {
		if !s.hasOpen(now) || ejectedForLatency && !s.hasFaster(t, now) {
			return true
		}
	}
	return len(t.shards) == 0
}

// ejectedForLatency tells whether nothing but its slowness speaks against the target.
func (t *target) ejectedForLatency(now time.Time) bool {
	return t.lastEjectReason == EjectSlow && now.Before(t.ejectedUntil) && !t.avoidedForHealth && !now.Before(t.peerNoticeUntil) &&
		t.condition(now) != conditionClosed
}

// trialDue tells whether an ejected target is due for an attempt that shows whether it has recovered; a target that is
// said to be leaving gets none.
func (t *target) trialDue(now time.Time) bool {
	return !t.avoidedForHealth && !now.Before(t.peerNoticeUntil) && !now.Before(t.nextTrialAt)
}

func (s *shard) hasOpen(now time.Time) bool {
	for _, t := range s.replicas {
		if t.condition(now) == conditionOpen {
			return true
		}
	}
	return false
}

// hasFaster tells whether an open replica takes less than half of a target's latency.
func (s *shard) hasFaster(t *target, now time.Time) bool {
	for _, r := range s.replicas {
		if r != t && r.condition(now) == conditionOpen && fasterFactor*r.medianLatency < t.medianLatency {
			return true
		}
	}
	return false
}

// mayAvoid tells whether at most half of the replicas of each of the target's shards would be out of use with it.
func (t *target) mayAvoid(now time.Time) bool {
	for _, s := range t.shards {
		out := 1
		for _, r := range s.replicas {
			if r != t && r.condition(now) != conditionOpen {
				out++
			}
		}
		if 2*out > len(s.replicas) {
			return false
		}
	}
	return true
}

// peerMedian returns the usual latency of the target's front.
func (t *target) peerMedian() time.Duration {
	if len(t.shards) == 0 {
		return 0
	}
	return t.shards[0].front.peerMedian
}

// eject takes the target out of use for a time that doubles with each ejection.
func (t *target) eject(now time.Time, reason EjectReason, base, trialInterval time.Duration) time.Duration {
	if !t.ejectedUntil.IsZero() && now.Sub(t.ejectedUntil) > ejectionResetAfter {
		t.ejections = 0
	}
	hold := cassiabackoff.Pause(base, maxEjection, t.ejections)
	t.ejections++
	t.lastEjectReason = reason
	t.ejectedUntil = now.Add(hold)
	t.nextTrialAt = now.Add(trialInterval)
	t.failures = 0
	// One more unanswered attempt ejects it again.
	t.unanswered = min(t.unanswered, unansweredToEject-1)
	return hold
}

// reopen forgets everything that spoke against the target.
func (t *target) reopen() {
	t.leavingUntil, t.peerNoticeUntil, t.ejectedUntil = time.Time{}, time.Time{}, time.Time{}
	t.avoidedForHealth, t.wasUnreachable = false, false
	t.failures, t.unanswered = 0, 0
}

const (
	// targetLatencyWindow is the number of attempts that a target's latency remembers; few, so that a change shows soon.
	targetLatencyWindow = 32
	// shedWeight is the weight of the newest attempt in the share refused for load, which halves in shedHalfLife.
	shedWeight   = 0.2
	shedHalfLife = 2 * time.Second
	// shedPenalty is how many times dearer a target looks that refuses everything.
	shedPenalty = 20
)

// recordShed takes in whether an attempt was refused for load.
func (t *target) recordShed(now time.Time, refused bool) {
	share := t.currentShedShare(now)
	t.shedShare, t.shedShareAt = share*(1-shedWeight), now
	if refused {
		t.shedShare += shedWeight
	}
}

func (t *target) currentShedShare(now time.Time) float64 {
	if t.shedShare == 0 {
		return 0
	}
	return t.shedShare * math.Exp2(-float64(now.Sub(t.shedShareAt))/float64(shedHalfLife))
}

// expectedLatency returns the latency to expect of the next attempt, beside that of the target's peers: longer for a target that
// refuses work for load, and no longer than usual for a slow one that is due for an attempt which shows whether it still is.
func (t *target) expectedLatency(now time.Time, peerMedian time.Duration) time.Duration {
	latency := t.medianLatency
	if peerMedian > 0 && latency > peerMedian && !now.Before(t.nextTrialAt) {
		latency = peerMedian
	}
	return time.Duration(float64(latency) * (1 + shedPenalty*t.currentShedShare(now)))
}

// recordLatency adds the duration of one attempt.
func (t *target) recordLatency(d time.Duration) {
	t.latency.Window = targetLatencyWindow
	t.latency.Observe(d)
	t.medianLatency = t.latency.Quantile(0.5)
	t.p95Latency = t.latency.Quantile(0.95)
}

// setSnapshots takes over what a reply says of the target's index.
func (t *target) setSnapshots(snapshots []uint64, shardMapEpoch uint64) {
	if len(snapshots) == 0 {
		return
	}
	t.snapshots = t.snapshots[:0:0]
	for _, v := range snapshots {
		t.snapshots = append(t.snapshots, cassiaid.Snapshot(v))
	}
	t.shardMapEpoch = cassiaid.Epoch(shardMapEpoch)
}

// isTargetFailure tells whether an outcome speaks against the target itself.
func isTargetFailure(r *cassiaschema.ShardResult) bool {
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_failed, cassiaschema.ShardOutcome_badReply, cassiaschema.ShardOutcome_unreachable:
		return true
	case cassiaschema.ShardOutcome_timedOut:
		return r.GetStarted()
	}
	return r.GetTargetLost()
}
