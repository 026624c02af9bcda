package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiarecent"
)

const (
	// Window is how long a loss counts against the requests that ran on the target, and how long an answer counts for a request.
	Window = time.Minute
	// baseQuarantine is the length of the first quarantine of a request, maxQuarantine that of the longest. The length doubles
	// with each quarantine that follows within repeatWindow.
	baseQuarantine = time.Minute
	maxQuarantine  = 16 * time.Minute
	// repeatWindow is how long after the end of a quarantine the next one needs only repeatLosses.
	repeatWindow = 15 * time.Minute
	// lossesToQuarantine is the number of lost targets that quarantine a request, contentLossesToQuarantine the number that
	// quarantine a content. A request that was quarantined recently needs repeatLosses.
	lossesToQuarantine        = 2
	contentLossesToQuarantine = 3
	repeatLosses              = 1
	// When outageLosses other targets were lost within outageWindow, there is probably another cause, such as an outage, and one
	// more loss is needed.
	outageWindow = 10 * time.Second
	outageLosses = 2
	// repetitionTime is the time in which a harmless request is sent again after its target was lost, and answered.
	repetitionTime = 500 * time.Millisecond
	// sameCrashWindow is the time within which all VMs notice that a target has ended. Losses of one target that are reported
	// within it are one crash.
	sameCrashWindow = 250 * time.Millisecond
	// maxSuspects is the maximum number of requests that are suspects at the same time, maxPeriods that of requests whose
	// latest quarantine is remembered, and maxLosses that of losses within Window.
	maxSuspects = 4096
	maxPeriods  = 4096
	maxLosses   = 1024
)

// requestPart identifies one shard's part of a request.
type requestPart struct {
	fingerprint cassiaid.Fingerprint
	shard       cassiaid.ShardIndex
}

// runningAttempt is a started attempt that has not ended.
type runningAttempt struct {
	run    Run
	target cassiaid.TargetName
	// lossRecorded is true when the loss of the attempt's target has been recorded already.
	lossRecorded bool
}

// recordedLoss is a loss within Window.
type recordedLoss struct {
	number int
	at     time.Time
	loss   Loss
}

// quarantinePeriod is the latest quarantine of a request, which may be over.
type quarantinePeriod struct {
	until    time.Time
	duration time.Duration
}

// Quarantine decides which requests caused the loss of targets.
type Quarantine struct {
	clock    cassiaplan.Clock
	attempts map[cassiaid.AttemptID]*runningAttempt
	// running holds the attempts by request.
	running  map[cassiaid.Fingerprint][]*runningAttempt
	suspects map[cassiaid.Fingerprint]*suspect
	periods  map[cassiaid.Fingerprint]quarantinePeriod
	losses   []recordedLoss
	// lossNumber is the number of the latest recorded loss.
	lossNumber int
	// unsharedRuns counts, for each request, its attempts in losses for which LossShared has not been received, so that the other
	// owners may not know of them.
	unsharedRuns map[cassiaid.Fingerprint]int
	// answered and answeredParts hold the requests and request parts that were answered within Window.
	answered      cassiarecent.Set[cassiaid.Fingerprint]
	answeredParts cassiarecent.Set[requestPart]
}

// NewQuarantine returns a Quarantine without suspects.
func NewQuarantine(clock cassiaplan.Clock) *Quarantine {
	return &Quarantine{
		clock:        clock,
		attempts:     make(map[cassiaid.AttemptID]*runningAttempt),
		running:      make(map[cassiaid.Fingerprint][]*runningAttempt),
		suspects:     make(map[cassiaid.Fingerprint]*suspect),
		periods:      make(map[cassiaid.Fingerprint]quarantinePeriod),
		unsharedRuns: make(map[cassiaid.Fingerprint]int),
	}
}

// Update processes a message and returns the effects that the caller has to perform, in order.
func (q *Quarantine) Update(m Message) []Effect {
	now := q.clock.Now()
	switch m := m.(type) {
	case Started:
		q.start(m)
	case Ended:
		return q.ended(now, m)
	case IdleLost:
		q.addLoss(now, Loss{Target: m.Target})
	case AnswerLearned:
		return markLearned(q.learnAnswer(now, m))
	case LossLearned:
		return markLearned(q.learnLoss(now, m))
	case LossShared:
		q.markShared(m.Loss)
	case QuarantineLearned:
		q.learnQuarantine(now, m)
	}
	return nil
}

// Remaining returns how long a request is still refused, or zero.
func (q *Quarantine) Remaining(f cassiaid.Fingerprint) time.Duration {
	return max(0, q.periods[f].until.Sub(q.clock.Now()))
}

// markLearned marks the quarantines among effects as learned.
func markLearned(effects []Effect) []Effect {
	for i, e := range effects {
		if quarantine, ok := e.(ShareQuarantine); ok {
			quarantine.Learned = true
			effects[i] = quarantine
		}
	}
	return effects
}

// Active returns the requests that are quarantined now, with the time for which they still are.
func (q *Quarantine) Active() map[cassiaid.Fingerprint]time.Duration {
	now := q.clock.Now()
	active := make(map[cassiaid.Fingerprint]time.Duration)
	for f, p := range q.periods {
		if remaining := p.until.Sub(now); remaining > 0 {
			active[f] = remaining
		}
	}
	return active
}

// setPeriod records the latest quarantine of a request. At maxPeriods it forgets those that ended longest ago.
func (q *Quarantine) setPeriod(now time.Time, f cassiaid.Fingerprint, period quarantinePeriod) {
	if _, known := q.periods[f]; !known && len(q.periods) >= maxPeriods {
		var oldest cassiaid.Fingerprint
		var end time.Time
		for other, p := range q.periods {
			if now.Sub(p.until) > repeatWindow {
				delete(q.periods, other)
			} else if end.IsZero() || p.until.Before(end) {
				oldest, end = other, p.until
			}
		}
		if len(q.periods) >= maxPeriods {
			delete(q.periods, oldest)
		}
	}
	q.periods[f] = period
}

// learnQuarantine applies a quarantine that another VM has started, unless a known one of the request lasts longer.
func (q *Quarantine) learnQuarantine(now time.Time, m QuarantineLearned) {
	until := now.Add(min(m.Remaining, maxQuarantine))
	if p := q.periods[m.Fingerprint]; until.After(p.until) {
		q.dropExplainedLosses(now, m.Fingerprint)
		q.setPeriod(now, m.Fingerprint, quarantinePeriod{until: until, duration: max(p.duration, baseQuarantine)})
	}
}

// start records a started attempt.
func (q *Quarantine) start(m Started) {
	a := &runningAttempt{run: m.Run, target: m.Target}
	q.attempts[m.Run.Attempt] = a
	for _, f := range m.Run.Fingerprints() {
		q.running[f] = append(q.running[f], a)
	}
}

// remove drops an attempt that has ended.
func (q *Quarantine) remove(a *runningAttempt) {
	delete(q.attempts, a.run.Attempt)
	for _, f := range a.run.Fingerprints() {
		q.running[f] = slices.DeleteFunc(q.running[f], func(other *runningAttempt) bool { return other == a })
		if len(q.running[f]) == 0 {
			delete(q.running, f)
		}
	}
}

func (q *Quarantine) ended(now time.Time, m Ended) []Effect {
	a := q.attempts[m.Attempt]
	if a == nil {
		return nil
	}
	defer q.remove(a)
	switch m.Ending {
	case EndingAnswered:
		var effects []Effect
		for _, f := range a.run.Fingerprints() {
			suspected, blamed := q.clearByAnswer(now, f, a.run.Shard)
			effects = append(effects, blamed...)
			if suspected {
				effects = append(effects, ShareAnswer{Fingerprint: f, Shard: a.run.Shard})
			}
		}
		return effects
	case EndingLost:
		return q.targetLost(now, a)
	}
	return q.quarantineBlamed(now, []Run{a.run}, m.Attempt)
}

// learnAnswer records an answer on another VM. An answer from before the loss is only remembered; a later one also removes the
// suspicion.
func (q *Quarantine) learnAnswer(now time.Time, m AnswerLearned) []Effect {
	if !m.BeforeLoss {
		_, effects := q.clearByAnswer(now, m.Fingerprint, m.Shard)
		return effects
	}
	q.answered.Add(now, Window, m.Fingerprint)
	q.answeredParts.Add(now, Window, requestPart{m.Fingerprint, m.Shard})
	return nil
}

// clearByAnswer records an answer and drops the losses of the answered request part. It reports whether the request was a
// suspect; if so, the answer also shows that other requests caused its losses, which may complete the blame of one of them.
func (q *Quarantine) clearByAnswer(now time.Time, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) (suspected bool, effects []Effect) {
	q.answered.Add(now, Window, f)
	q.answeredParts.Add(now, Window, requestPart{f, shard})
	if p, ok := q.periods[f]; ok && !now.Before(p.until) {
		delete(q.periods, f)
	}
	s := q.suspects[f]
	if s == nil {
		return false, nil
	}
	s.clearShard(shard)
	q.expireLosses(now, f, s)
	var blamable []Run
	for other, companion := range q.suspects {
		if other != f && companion.exonerate(f) {
			blamable = append(blamable, Run{Fingerprint: other})
		}
	}
	return true, q.quarantineBlamed(now, blamable, 0)
}

// expireLosses drops the losses that are older than Window, and the suspect when none is left.
func (q *Quarantine) expireLosses(now time.Time, f cassiaid.Fingerprint, s *suspect) {
	s.dropBefore(now.Add(-Window))
	if len(s.losses) == 0 {
		delete(q.suspects, f)
	}
}

// targetLost records the loss of a target once, for all the attempts that run on it.
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
		for _, f := range r.Fingerprints() {
			q.unsharedRuns[f]++
		}
	}
	effects := []Effect{ShareLoss{Loss: loss}}
	q.addToSuspects(now, loss)
	return append(effects, q.quarantineBlamed(now, loss.Runs, a.run.Attempt)...)
}

// markShared records that the other owners know of a loss.
func (q *Quarantine) markShared(loss Loss) {
	for _, r := range loss.Runs {
		for _, f := range r.Fingerprints() {
			if q.unsharedRuns[f]--; q.unsharedRuns[f] <= 0 {
				delete(q.unsharedRuns, f)
			}
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

func (q *Quarantine) learnLoss(now time.Time, m LossLearned) []Effect {
	if len(m.Loss.Runs) == 0 || m.Age > Window || q.Knows(m.Loss) {
		return nil
	}
	q.addToSuspects(now.Add(-max(m.Age, 0)), m.Loss)
	return append(q.shareEarlierAnswers(now, m.Loss), q.quarantineBlamed(now, m.Loss.Runs, 0)...)
}

// LossesOf returns the losses that count against a request, for VMs that may have missed them. Runs of requests that have been
// cleared since are left out.
func (q *Quarantine) LossesOf(f cassiaid.Fingerprint) []LossLearned {
	now := q.clock.Now()
	s := q.suspects[f]
	if s == nil {
		return nil
	}
	var losses []LossLearned
	for _, recorded := range q.losses {
		if now.Sub(recorded.at) > Window || !s.hasLoss(recorded) {
			continue
		}
		loss := recorded.loss
		loss.Runs = slices.DeleteFunc(slices.Clone(loss.Runs), func(r Run) bool { return !q.countsAgainst(recorded, r) })
		losses = append(losses, LossLearned{Loss: loss, Age: now.Sub(recorded.at)})
	}
	return losses
}

// countsAgainst reports whether a loss counts against the request of one of its runs, or against its content.
func (q *Quarantine) countsAgainst(loss recordedLoss, r Run) bool {
	return slices.ContainsFunc(r.Fingerprints(), func(f cassiaid.Fingerprint) bool { return q.suspects[f].hasLoss(loss) })
}

// shareEarlierAnswers returns a ShareAnswer for each request part of the loss that this VM knows to have been answered within
// Window.
func (q *Quarantine) shareEarlierAnswers(now time.Time, loss Loss) []Effect {
	var effects []Effect
	for _, r := range loss.Runs {
		for _, f := range r.Fingerprints() {
			if q.answeredParts.Has(now, Window, requestPart{f, r.Shard}) {
				effects = append(effects, ShareAnswer{Fingerprint: f, Shard: r.Shard, BeforeLoss: true})
			}
		}
	}
	return effects
}

// Knows reports whether the same loss has been recorded before: one of its attempts is part of a recorded loss, and an
// attempt is lost only once.
func (q *Quarantine) Knows(loss Loss) bool {
	return slices.ContainsFunc(q.losses, func(s recordedLoss) bool {
		return slices.ContainsFunc(s.loss.Runs, func(known Run) bool {
			return slices.ContainsFunc(loss.Runs, func(r Run) bool { return r.Attempt == known.Attempt })
		})
	})
}

// addLoss records a loss and drops those older than Window.
func (q *Quarantine) addLoss(now time.Time, loss Loss) {
	q.losses = slices.DeleteFunc(q.losses, func(s recordedLoss) bool { return now.Sub(s.at) > Window })
	if len(q.losses) >= maxLosses {
		q.losses = q.losses[1:]
	}
	q.lossNumber++
	q.losses = append(q.losses, recordedLoss{number: q.lossNumber, at: now, loss: loss})
}

// addToSuspects records a loss that occurred at a time and adds it to each request that ran on the target. Other VMs may have reported
// the same crash for their own runs; those and the runs of this loss are companions of each other.
func (q *Quarantine) addToSuspects(at time.Time, loss Loss) {
	var companions []Run
	for _, earlier := range q.losses {
		if earlier.loss.Target != loss.Target || earlier.loss.Reporter == loss.Reporter || at.Sub(earlier.at).Abs() > sameCrashWindow {
			continue
		}
		for _, r := range earlier.loss.Runs {
			for _, f := range r.Fingerprints() {
				q.suspects[f].addCompanions(at, loss)
			}
		}
		companions = append(companions, earlier.loss.Runs...)
	}
	companions = append(companions, loss.Runs...)
	q.addLoss(at, loss)
	for _, r := range loss.Runs {
		for _, f := range r.Fingerprints() {
			s := q.suspects[f]
			if s == nil {
				q.evict(at)
				s = &suspect{fingerprint: f, content: r.Content}
				q.suspects[f] = s
			}
			s.dropBefore(at.Add(-Window))
			l := suspectLoss{number: q.lossNumber, at: at, target: loss.Target, shard: r.Shard, alone: r.Alone, reporter: loss.Reporter}
			l.addCompanions(f, r.Content, companions)
			s.addLoss(l, r.Fingerprint)
		}
	}
}

// evict makes room for a new suspect when there are maxSuspects: it drops expired losses, then arbitrary suspects.
func (q *Quarantine) evict(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	for f, s := range q.suspects {
		q.expireLosses(now, f, s)
	}
	for f := range q.suspects {
		if len(q.suspects) < maxSuspects {
			return
		}
		delete(q.suspects, f)
	}
}

// quarantineBlamed quarantines those of the runs' requests that isBlamed accepts. The attempt with the ID ended is not counted as
// running.
func (q *Quarantine) quarantineBlamed(now time.Time, runs []Run, ended cassiaid.AttemptID) []Effect {
	var effects []Effect
	for _, r := range runs {
		for _, f := range r.Fingerprints() {
			if q.Remaining(f) > 0 || !q.isBlamed(now, f, ended) {
				continue
			}
			duration := q.nextDuration(now, f)
			q.dropExplainedLosses(now, f)
			q.setPeriod(now, f, quarantinePeriod{until: now.Add(duration), duration: duration})
			effects = append(effects, ShareQuarantine{Fingerprint: f, Remaining: duration})
		}
	}
	return effects
}

// dropExplainedLosses removes the request f, which is about to be quarantined, from the suspects, and drops the losses of other suspects
// on targets that also ran f. Unless f was quarantined before, a suspect that ran on all targets that f lost keeps its losses: the VM
// that blamed f may not have known of it.
func (q *Quarantine) dropExplainedLosses(now time.Time, f cassiaid.Fingerprint) {
	delete(q.suspects, f)
	lost, repeated := q.targetsLostBy(now, f), q.quarantinedRecently(now, f)
	for other, s := range q.suspects {
		if !repeated && s.involvesAll(lost) {
			continue
		}
		s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return slices.Contains(l.others, f) })
		q.expireLosses(now, other, s)
	}
}

// targetsLostBy returns the targets that were lost within Window while they ran a request.
func (q *Quarantine) targetsLostBy(now time.Time, f cassiaid.Fingerprint) []cassiaid.TargetName {
	var targets []cassiaid.TargetName
	for _, l := range q.losses {
		ran := slices.ContainsFunc(l.loss.Runs, func(r Run) bool { return r.has(f) })
		if ran && now.Sub(l.at) <= Window && !slices.Contains(targets, l.loss.Target) {
			targets = append(targets, l.loss.Target)
		}
	}
	return targets
}

func (q *Quarantine) nextDuration(now time.Time, f cassiaid.Fingerprint) time.Duration {
	if !q.quarantinedRecently(now, f) {
		return baseQuarantine
	}
	return min(maxQuarantine, 2*q.periods[f].duration)
}

func (q *Quarantine) quarantinedRecently(now time.Time, f cassiaid.Fingerprint) bool {
	p, ok := q.periods[f]
	return ok && now.Sub(p.until) < repeatWindow
}

// isBlamed reports whether a request has lost enough targets to be quarantined, and no other request ran on all of them.
func (q *Quarantine) isBlamed(now time.Time, f cassiaid.Fingerprint, ended cassiaid.AttemptID) bool {
	s := q.suspects[f]
	if s == nil {
		return false
	}
	if s.isContent() {
		return q.isBlamedAsContent(now, s, ended)
	}
	needed := q.lossesNeeded(now, f, lossesToQuarantine)
	for _, l := range s.losses {
		partLosses := s.ofShard(l.shard)
		if countCrashes(partLosses) < needed || !noOtherCommonRequest(partLosses) {
			continue
		}
		if provenByRunsAlone(partLosses) || !q.answeredParts.Has(now, Window, requestPart{f, l.shard}) {
			return true
		}
	}
	return q.isBlamedAcrossShards(now, f, s, needed, ended)
}

// isBlamedAsContent reports whether a content has lost enough targets to be quarantined, under several callers unless it was
// quarantined recently, and no other request ran on all of them. It is not while a target may still answer it, nor once one has,
// so that a caller whose own header crashes targets does not have the requests of all others refused.
func (q *Quarantine) isBlamedAsContent(now time.Time, s *suspect, ended cassiaid.AttemptID) bool {
	if q.runsOnAnyShard(s.fingerprint, ended) {
		return false
	}
	needed := q.lossesNeeded(now, s.fingerprint, contentLossesToQuarantine)
	sufficient := func(losses []suspectLoss) bool {
		return countCrashes(losses) >= needed && noOtherCommonRequest(losses) &&
			(severalCallers(losses) || q.quarantinedRecently(now, s.fingerprint))
	}
	for _, l := range s.losses {
		if !q.answeredParts.Has(now, Window, requestPart{s.fingerprint, l.shard}) && sufficient(s.ofShard(l.shard)) {
			return true
		}
	}
	return !q.answered.Has(now, Window, s.fingerprint) && sufficient(s.losses)
}

// lossesNeeded returns the number of losses that quarantine the request, which is first if it was not quarantined recently.
func (q *Quarantine) lossesNeeded(now time.Time, f cassiaid.Fingerprint, first int) int {
	needed := first
	if q.quarantinedRecently(now, f) {
		needed = repeatLosses
	}
	if q.unrelatedLosses(now, f) >= outageLosses {
		needed++
	}
	return needed
}

// unrelatedLosses returns the number of targets lost within outageWindow that ran neither the request nor any quarantined request, nor
// only a suspect that has not been answered since.
// It counts targets, not losses: a loss may be reported by each owner of the target, and again for later attempts.
func (q *Quarantine) unrelatedLosses(now time.Time, f cassiaid.Fingerprint) int {
	targets := make(map[cassiaid.TargetName]struct{})
	for _, l := range q.losses {
		if now.Sub(l.at) > outageWindow {
			continue
		}
		explained := slices.ContainsFunc(l.loss.Runs, func(r Run) bool {
			return r.has(f) || q.Remaining(r.Fingerprint) > 0 || q.Remaining(r.Content) > 0
		})
		if !explained && !q.suspects[f].involves(l.loss.Target) && !q.explainedBySuspect(now, l) {
			targets[l.loss.Target] = struct{}{}
		}
	}
	return len(targets)
}

// explainedBySuspect reports whether a loss is probably due to the only request that ran on the target: no target has answered it for
// repetitionTime.
func (q *Quarantine) explainedBySuspect(now time.Time, recorded recordedLoss) bool {
	if now.Sub(recorded.at) < repetitionTime || len(recorded.loss.Runs) == 0 {
		return false
	}
	s := q.suspects[recorded.loss.Runs[0].Fingerprint]
	return s != nil && slices.ContainsFunc(s.losses, func(l suspectLoss) bool { return l.number == recorded.number && len(l.others) == 0 })
}

// isBlamedAcrossShards reports whether the losses of all shards together suffice to quarantine the request: no target has answered
// it, it has lost enough targets, and no other request ran on every one of them. In addition, either its runs alone prove it, or
// this VM has observed enough of the losses itself and runs no other attempt of it.
func (q *Quarantine) isBlamedAcrossShards(now time.Time, f cassiaid.Fingerprint, s *suspect, needed int, ended cassiaid.AttemptID) bool {
	if q.answered.Has(now, Window, f) {
		return false
	}
	if provenByRunsAlone(s.losses) && countCrashes(s.losses) >= needed && noOtherCommonRequest(s.losses) {
		return true
	}
	local := s.localLosses()
	return countCrashes(local) >= needed && noOtherCommonRequest(local) && !q.runsOnAnyShard(f, ended)
}

// runsOnAnyShard reports whether an attempt of the request other than except runs on a target that is not known to be lost.
func (q *Quarantine) runsOnAnyShard(f cassiaid.Fingerprint, except cassiaid.AttemptID) bool {
	for _, a := range q.running[f] {
		if a.run.Attempt != except && !a.lossRecorded {
			return true
		}
	}
	return false
}
