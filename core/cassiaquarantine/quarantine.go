package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiarecent"
)

const (
	// Window is how long a loss counts against the requests that ran on the target.
	Window = time.Minute
	// holdBase is the first quarantine; it doubles with each one that follows within paroleTime.
	baseQuarantine = time.Minute
	maxQuarantine  = 16 * time.Minute
	// paroleTime is how long after a quarantine one more loss is enough for the next.
	repeatWindow = 15 * time.Minute
	// lossesToBlame is the number of losses that quarantine a request.
	lossesToQuarantine = 2
	// outageWindow and outageLosses tell when targets are being lost for another reason, so that one more loss is needed.
	outageWindow = 10 * time.Second
	outageLosses = 2
	maxSuspects  = 4096
)

// runKey names one shard's part of a request.
type requestPart struct {
	fingerprint cassiaid.Fingerprint
	shard       cassiaid.ShardIndex
}

// running is an attempt on a target.
type runningAttempt struct {
	run    Run
	target cassiaid.TargetName
	// counted is true when the attempt's target has been counted as lost already.
	lossRecorded bool
}

// seenLoss is a loss within the window.
type recordedLoss struct {
	at   time.Time
	loss Loss
}

// sentence is a quarantine in force or lately over.
type quarantinePeriod struct {
	until    time.Time
	duration time.Duration
}

// Quarantine decides which requests are to blame for lost targets.
type Quarantine struct {
	clock    cassiaplan.Clock
	attempts map[cassiaid.AttemptID]*runningAttempt
	suspects map[cassiaid.Fingerprint]*suspect
	periods  map[cassiaid.Fingerprint]quarantinePeriod
	losses   []recordedLoss
	// unshared counts for each request its runs on lost targets of which the other owners may not know yet.
	unsharedRuns map[cassiaid.Fingerprint]int
	// answered remembers which requests, and which shards' parts of them, were answered lately.
	answered      cassiarecent.Set[cassiaid.Fingerprint]
	answeredParts cassiarecent.Set[requestPart]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(clock cassiaplan.Clock) *Quarantine {
	return &Quarantine{
		clock:        clock,
		attempts:     make(map[cassiaid.AttemptID]*runningAttempt),
		suspects:     make(map[cassiaid.Fingerprint]*suspect),
		periods:      make(map[cassiaid.Fingerprint]quarantinePeriod),
		unsharedRuns: make(map[cassiaid.Fingerprint]int),
	}
}

// Update takes one message and returns what the caller has to do.
func (q *Quarantine) Update(m Message) []Effect {
	now := q.clock.Now()
	switch m := m.(type) {
	case Started:
		q.attempts[m.Run.Attempt] = &runningAttempt{run: m.Run, target: m.Target}
	case Ended:
		return q.ended(now, m)
	case IdleLost:
		q.addLoss(now, Loss{Target: m.Target})
	case AnswerLearned:
		q.learnAnswer(now, m)
	case LossLearned:
		return q.learnLoss(now, m.Loss)
	case LossShared:
		q.markShared(m.Loss)
	case Learned:
		q.learnQuarantine(now, m)
	}
	return nil
}

// Remaining returns how long a request is still refused, or zero.
func (q *Quarantine) Remaining(f cassiaid.Fingerprint) time.Duration {
	return max(0, q.periods[f].until.Sub(q.clock.Now()))
}

// learnSentence takes over a quarantine decided elsewhere.
func (q *Quarantine) learnQuarantine(now time.Time, m Learned) {
	until := now.Add(min(m.Remaining, maxQuarantine))
	if s := q.periods[m.Fingerprint]; until.After(s.until) {
		q.periods[m.Fingerprint] = quarantinePeriod{until: until, duration: max(s.duration, baseQuarantine)}
		q.dropExplainedLosses(now, m.Fingerprint)
	}
}

func (q *Quarantine) ended(now time.Time, m Ended) []Effect {
	a := q.attempts[m.Attempt]
	if a == nil {
		return nil
	}
	defer delete(q.attempts, m.Attempt)
	switch m.Ending {
	case EndingAnswered:
		if q.clearByAnswer(now, a.run.Fingerprint, a.run.Shard) {
			return []Effect{ShareAnswer{Fingerprint: a.run.Fingerprint, Shard: a.run.Shard}}
		}
		return nil
	case EndingLost:
		return q.targetLost(now, a)
	}
	return q.quarantineBlamed(now, []Run{a.run}, m.Attempt)
}

// learnAnswer takes over an answer; one from before the loss speaks for the request but does not clear it.
func (q *Quarantine) learnAnswer(now time.Time, m AnswerLearned) {
	if !m.Earlier {
		q.clearByAnswer(now, m.Fingerprint, m.Shard)
		return
	}
	q.answered.Add(now, Window, m.Fingerprint)
	q.answeredParts.Add(now, Window, requestPart{m.Fingerprint, m.Shard})
}

// clearByAnswer drops the suspicion of a request's part that a target has answered, and tells whether there was any.
func (q *Quarantine) clearByAnswer(now time.Time, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.answered.Add(now, Window, f)
	q.answeredParts.Add(now, Window, requestPart{f, shard})
	if p, ok := q.periods[f]; ok && !now.Before(p.until) {
		delete(q.periods, f)
	}
	s := q.suspects[f]
	if s == nil {
		return false
	}
	s.clearShard(shard)
	q.expireLosses(now, f, s)
	return true
}

// forgetOld drops strikes from before the window, and the suspect when none is left.
func (q *Quarantine) expireLosses(now time.Time, f cassiaid.Fingerprint, s *suspect) {
	s.dropBefore(now.Add(-Window))
	if len(s.losses) == 0 {
		delete(q.suspects, f)
	}
}

// lost counts the loss of a target once, against all the attempts that run on it.
func (q *Quarantine) targetLost(now time.Time, a *runningAttempt) []Effect {
	if a.lossRecorded {
		return q.quarantineBlamed(now, []Run{a.run}, a.run.Attempt)
	}
	loss := Loss{Target: a.target}
	for _, other := range q.attempts {
		if other.target == a.target && !other.lossRecorded {
			other.lossRecorded = true
			loss.Runs = append(loss.Runs, other.run)
		}
	}
	slices.SortFunc(loss.Runs, func(x, y Run) int { return compare(x.Attempt, y.Attempt) })
	for _, r := range loss.Runs {
		q.unsharedRuns[r.Fingerprint]++
	}
	effects := []Effect{ShareLoss{Loss: loss}}
	q.addToSuspects(now, loss, true)
	return append(effects, q.quarantineBlamed(now, loss.Runs, a.run.Attempt)...)
}

// noteShared takes that the other owners know of a loss.
func (q *Quarantine) markShared(loss Loss) {
	for _, r := range loss.Runs {
		if q.unsharedRuns[r.Fingerprint]--; q.unsharedRuns[r.Fingerprint] <= 0 {
			delete(q.unsharedRuns, r.Fingerprint)
		}
	}
}

func compare(a, b cassiaid.AttemptID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (q *Quarantine) learnLoss(now time.Time, loss Loss) []Effect {
	if len(loss.Runs) == 0 || q.hasRecorded(loss) {
		return nil
	}
	q.addToSuspects(now, loss, false)
	return append(q.shareEarlierAnswers(now, loss), q.quarantineBlamed(now, loss.Runs, 0)...)
}

// vouch shares that this VM's targets have answered requests which another VM now suspects.
func (q *Quarantine) shareEarlierAnswers(now time.Time, loss Loss) []Effect {
	var effects []Effect
	for _, r := range loss.Runs {
		if q.answeredParts.Has(now, Window, requestPart{r.Fingerprint, r.Shard}) {
			effects = append(effects, ShareAnswer{Fingerprint: r.Fingerprint, Shard: r.Shard, Earlier: true})
		}
	}
	return effects
}

// knows tells whether the same loss has been counted before: an attempt is lost only once.
func (q *Quarantine) hasRecorded(loss Loss) bool {
	return slices.ContainsFunc(q.losses, func(s recordedLoss) bool {
		return slices.ContainsFunc(s.loss.Runs, func(known Run) bool {
			return slices.ContainsFunc(loss.Runs, func(r Run) bool { return r.Attempt == known.Attempt })
		})
	})
}

// remember adds a loss to those of the window.
func (q *Quarantine) addLoss(now time.Time, loss Loss) {
	q.losses = slices.DeleteFunc(q.losses, func(s recordedLoss) bool { return now.Sub(s.at) > Window })
	q.losses = append(q.losses, recordedLoss{at: now, loss: loss})
}

// strike adds a loss to each request that ran on the target.
func (q *Quarantine) addToSuspects(now time.Time, loss Loss, seen bool) {
	q.addLoss(now, loss)
	for _, r := range loss.Runs {
		s := q.suspects[r.Fingerprint]
		if s == nil {
			q.evict(now)
			s = &suspect{}
			q.suspects[r.Fingerprint] = s
		}
		s.dropBefore(now.Add(-Window))
		l := suspectLoss{at: now, target: loss.Target, shard: r.Shard, alone: r.Alone, local: seen}
		for _, other := range loss.Runs {
			if other.Fingerprint != r.Fingerprint {
				l.others = append(l.others, other.Fingerprint)
			}
		}
		s.losses = append(s.losses, l)
	}
}

// makeRoom drops suspects and sentences that no longer matter.
func (q *Quarantine) evict(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	for f, s := range q.suspects {
		q.expireLosses(now, f, s)
	}
	for f, s := range q.periods {
		if now.Sub(s.until) > repeatWindow {
			delete(q.periods, f)
		}
	}
	for f := range q.suspects {
		if len(q.suspects) < maxSuspects {
			return
		}
		delete(q.suspects, f)
	}
}

// judgeAll quarantines those of the runs' requests that are to blame; ended is an attempt that no longer counts as running.
func (q *Quarantine) quarantineBlamed(now time.Time, runs []Run, ended cassiaid.AttemptID) []Effect {
	var effects []Effect
	for _, r := range runs {
		f := r.Fingerprint
		if q.Remaining(f) > 0 || !q.isBlamed(now, f, ended) {
			continue
		}
		duration := q.nextDuration(now, f)
		q.periods[f] = quarantinePeriod{until: now.Add(duration), duration: duration}
		q.dropExplainedLosses(now, f)
		effects = append(effects, ShareQuarantine{Fingerprint: f, Remaining: duration})
	}
	return effects
}

// explain drops the strikes that a quarantined request accounts for.
func (q *Quarantine) dropExplainedLosses(now time.Time, f cassiaid.Fingerprint) {
	delete(q.suspects, f)
	for other, s := range q.suspects {
		s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return slices.Contains(l.others, f) })
		q.expireLosses(now, other, s)
	}
}

func (q *Quarantine) nextDuration(now time.Time, f cassiaid.Fingerprint) time.Duration {
	if !q.quarantinedRecently(now, f) {
		return baseQuarantine
	}
	return min(maxQuarantine, 2*q.periods[f].duration)
}

func (q *Quarantine) quarantinedRecently(now time.Time, f cassiaid.Fingerprint) bool {
	s, ok := q.periods[f]
	return ok && now.Sub(s.until) < repeatWindow
}

// toBlame tells whether the losses speak against the request and nothing else.
func (q *Quarantine) isBlamed(now time.Time, f cassiaid.Fingerprint, ended cassiaid.AttemptID) bool {
	s := q.suspects[f]
	if s == nil {
		return false
	}
	needed := q.lossesNeeded(now, f)
	for _, l := range s.losses {
		partLosses := s.ofShard(l.shard)
		if len(partLosses) < needed || !isOnlyCommonRequest(partLosses) {
			continue
		}
		if lostWhileAlone(partLosses) || !q.answeredParts.Has(now, Window, requestPart{f, l.shard}) {
			return true
		}
	}
	return q.failsOnAllShards(now, f, s, needed, ended)
}

// needed returns how many losses quarantine the request.
func (q *Quarantine) lossesNeeded(now time.Time, f cassiaid.Fingerprint) int {
	needed := lossesToQuarantine
	if q.quarantinedRecently(now, f) {
		needed--
	}
	if q.unrelatedLosses(now, f) >= outageLosses {
		needed++
	}
	return needed
}

// unrelatedLosses counts the targets lost lately that did not run the request nor any request that is quarantined. One
// target's loss may be told several times: by each of its owners, and again for attempts that came after the first.
func (q *Quarantine) unrelatedLosses(now time.Time, f cassiaid.Fingerprint) int {
	targets := make(map[cassiaid.TargetName]struct{})
	for _, l := range q.losses {
		if now.Sub(l.at) > outageWindow {
			continue
		}
		explained := slices.ContainsFunc(l.loss.Runs, func(r Run) bool {
			return r.Fingerprint == f || q.Remaining(r.Fingerprint) > 0
		})
		if !explained && !q.suspects[f].involves(l.loss.Target) {
			targets[l.loss.Target] = struct{}{}
		}
	}
	return len(targets)
}

// failsEverywhere tells whether targets of different shards were lost and none has answered the request: either after
// one that it ran on alone, or once none of its attempts runs any more among those that this VM has seen.
func (q *Quarantine) failsOnAllShards(now time.Time, f cassiaid.Fingerprint, s *suspect, needed int, ended cassiaid.AttemptID) bool {
	if q.answered.Has(now, Window, f) {
		return false
	}
	if lostWhileAlone(s.losses) && countTargets(s.losses) >= needed && isOnlyCommonRequest(s.losses) {
		return true
	}
	local := s.localLosses()
	return countTargets(local) >= needed && isOnlyCommonRequest(local) && !q.runsOnAnyShard(f, ended)
}

// runs tells whether an attempt of the request runs on a target that is not lost.
func (q *Quarantine) runsOnAnyShard(f cassiaid.Fingerprint, except cassiaid.AttemptID) bool {
	for id, a := range q.attempts {
		if id != except && a.run.Fingerprint == f && !a.lossRecorded {
			return true
		}
	}
	return false
}
