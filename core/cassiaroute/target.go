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
	// defaultLeavingDuration is how long a report that a target is leaving stays valid unless the report says
	// otherwise.
	defaultLeavingDuration = time.Minute
	// firstUnreachableEjection is the length of the first ejection for a refused connection or another failure to
	// reach the target.
	firstUnreachableEjection = time.Second
	// firstFailureEjection is the length of the first ejection for failures, firstSlowEjection of the first for
	// slowness.
	firstFailureEjection = 2 * time.Second
	firstSlowEjection    = 20 * time.Second
	maxEjection          = time.Minute
	// ejectionResetAfter is how long after the end of its last ejection a target's next one has the first length
	// again.
	ejectionResetAfter = 2 * time.Minute
	// unansweredToEject is the number of attempts given up late, with no answer in between, that eject a target.
	unansweredToEject = 5
	// unansweredFactor is how many times the peer median an attempt must have waited to count as unanswered when
	// given up.
	unansweredFactor = 2
	// A target ejected as slow stays out of use only while the latency of an open replica, times fasterFactor, is below
	// its own.
	fasterFactor = 2
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
)

// condition says how far a target may be used.
type condition int

const (
	conditionOpen condition = iota
	// conditionAvoided targets are used only when their shard has no open target.
	conditionAvoided
	// conditionClosed targets get no work.
	conditionClosed
)

// target is the state that a Table keeps of one target.
type target struct {
	name          cassiaid.TargetName
	shards        []*shard
	snapshots     []cassiaid.Snapshot
	shardMapEpoch cassiaid.Epoch
	load          int

	latency                   cassialatency.Latency
	medianLatency, p95Latency time.Duration
	// shedShare is the recent share of attempts that the target shed because of load, as of shedShareAt.
	shedShare   float64
	shedShareAt time.Time

	leavingUntil     time.Time
	peerNoticeUntil  time.Time
	onPlatformList   bool
	avoidedForHealth bool
	// wasUnreachable is true once the target could not be reached: when it can be reached again, it is a new process.
	wasUnreachable bool

	ejectedUntil time.Time
	ejections    int
	failures     int
	// lastEjectReason is the reason of the last ejection.
	lastEjectReason EjectReason
	// unanswered counts the attempts given up late since the last answer.
	unanswered  int
	nextTrialAt time.Time
}

// shard is one shard of a front with the targets that hold it.
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

// usable reports whether a query may be sent to the target: it is open, due for a trial attempt, in a shard without
// an open target, or ejected as slow while the open replicas of a shard are not much faster.
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

// ejectedForLatency reports whether the target is kept out of use for its latency only.
func (t *target) ejectedForLatency(now time.Time) bool {
	return t.lastEjectReason == EjectSlow && now.Before(t.ejectedUntil) && !t.avoidedForHealth && !now.Before(t.peerNoticeUntil) &&
		t.condition(now) != conditionClosed
}

// trialDue reports whether an ejected target is due for an attempt that shows whether it has recovered. A target that
// its health endpoint or another VM reports as leaving gets none.
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

// hasFaster reports whether an open replica takes less than half of a target's latency.
func (s *shard) hasFaster(t *target, now time.Time) bool {
	for _, r := range s.replicas {
		if r != t && r.condition(now) == conditionOpen && fasterFactor*r.medianLatency < t.medianLatency {
			return true
		}
	}
	return false
}

// mayAvoid reports whether, with the target out of use, at most half of the replicas of each of its shards would be
// out of use.
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

// peerMedian returns the median of the median latencies of the targets of a front that the target belongs to, 0 when it
// is not known. For a target of several fronts it uses one of them.
func (t *target) peerMedian() time.Duration {
	if len(t.shards) == 0 {
		return 0
	}
	return t.shards[0].front.peerMedian
}

// eject takes the target out of use for a time that doubles with each ejection, and returns that time.
func (t *target) eject(now time.Time, reason EjectReason, base, trialInterval time.Duration) time.Duration {
	if !t.ejectedUntil.IsZero() && now.Sub(t.ejectedUntil) > ejectionResetAfter {
		t.ejections = 0
	}
	hold := cassiabackoff.Delay(base, maxEjection, t.ejections)
	t.ejections++
	t.lastEjectReason = reason
	t.ejectedUntil = now.Add(hold)
	t.nextTrialAt = now.Add(trialInterval)
	t.failures = 0
	// After the ejection one more unanswered attempt ejects the target again.
	t.unanswered = min(t.unanswered, unansweredToEject-1)
	return hold
}

// reopen clears all state that keeps the target out of use, except for the platform's list.
func (t *target) reopen() {
	t.leavingUntil, t.peerNoticeUntil, t.ejectedUntil = time.Time{}, time.Time{}, time.Time{}
	t.avoidedForHealth, t.wasUnreachable = false, false
	t.failures, t.unanswered = 0, 0
}

const (
	// targetLatencyWindow is the number of attempts in a target's latency estimate; few, so that a change shows soon.
	targetLatencyWindow = 32
	// shedWeight is the weight of the newest attempt in shedShare, which halves in shedHalfLife.
	shedWeight   = 0.2
	shedHalfLife = 2 * time.Second
	// shedPenalty is the multiple of its median that is added to the expected latency of a target that sheds every
	// attempt.
	shedPenalty = 20
)

// recordShed updates shedShare with whether the target shed an attempt because of load.
func (t *target) recordShed(now time.Time, shed bool) {
	share := t.currentShedShare(now)
	t.shedShare, t.shedShareAt = share*(1-shedWeight), now
	if shed {
		t.shedShare += shedWeight
	}
}

func (t *target) currentShedShare(now time.Time) float64 {
	if t.shedShare == 0 {
		return 0
	}
	return t.shedShare * math.Exp2(-float64(now.Sub(t.shedShareAt))/float64(shedHalfLife))
}

// expectedLatency returns the latency to expect of the next attempt: longer for a target that sheds attempts, and no
// longer than the peer median for a slow target that is due for a trial attempt.
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

// setSnapshots stores the snapshots and the shard map epoch of a reply; a reply without snapshots changes nothing.
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

// isTargetFailure reports whether an outcome is a fault of the target itself.
func isTargetFailure(r *cassiaschema.ShardResult) bool {
	switch r.GetOutcome() {
	case cassiaschema.ShardOutcome_failed, cassiaschema.ShardOutcome_badReply, cassiaschema.ShardOutcome_unreachable:
		return true
	case cassiaschema.ShardOutcome_timedOut:
		return r.GetStarted()
	}
	return r.GetTargetLost()
}
