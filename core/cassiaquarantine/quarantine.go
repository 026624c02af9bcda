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
	holdBase = time.Minute
	holdMax  = 16 * time.Minute
	// paroleTime is how long after a quarantine one more loss is enough for the next.
	paroleTime = 15 * time.Minute
	// lossesToBlame is the number of losses that quarantine a request.
	lossesToBlame = 2
	// outageWindow and outageLosses tell when targets are being lost for another reason, so that one more loss is needed.
	outageWindow = 10 * time.Second
	outageLosses = 2
	maxSuspects  = 4096
)

// runKey names one shard's part of a request.
type runKey struct {
	fingerprint cassiaid.Fingerprint
	shard       cassiaid.ShardIndex
}

// running is an attempt on a target.
type running struct {
	run    Run
	target cassiaid.TargetName
	// counted is true when the attempt's target has been counted as lost already.
	counted bool
}

// seenLoss is a loss within the window.
type seenLoss struct {
	at   time.Time
	loss Loss
}

// sentence is a quarantine in force or lately over.
type sentence struct {
	until time.Time
	hold  time.Duration
}

// Quarantine decides which requests are to blame for lost targets.
type Quarantine struct {
	clock     cassiaplan.Clock
	attempts  map[cassiaid.AttemptID]*running
	suspects  map[cassiaid.Fingerprint]*suspect
	sentences map[cassiaid.Fingerprint]sentence
	losses    []seenLoss
	// unshared counts for each request its runs on lost targets of which the other owners may not know yet.
	unshared map[cassiaid.Fingerprint]int
	// answered remembers which requests, and which shards' parts of them, were answered lately.
	answered      cassiarecent.Set[cassiaid.Fingerprint]
	answeredParts cassiarecent.Set[runKey]
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(clock cassiaplan.Clock) *Quarantine {
	return &Quarantine{
		clock:     clock,
		attempts:  make(map[cassiaid.AttemptID]*running),
		suspects:  make(map[cassiaid.Fingerprint]*suspect),
		sentences: make(map[cassiaid.Fingerprint]sentence),
		unshared:  make(map[cassiaid.Fingerprint]int),
	}
}

// Update takes one message and returns what the caller has to do.
func (q *Quarantine) Update(m Message) []Effect {
	now := q.clock.Now()
	switch m := m.(type) {
	case Started:
		q.attempts[m.Run.Attempt] = &running{run: m.Run, target: m.Target}
	case Ended:
		return q.ended(now, m)
	case IdleLost:
		q.remember(now, Loss{Target: m.Target})
	case AnswerLearned:
		q.learnAnswer(now, m)
	case LossLearned:
		return q.learnLoss(now, m.Loss)
	case LossShared:
		q.noteShared(m.Loss)
	case Learned:
		q.learnSentence(now, m)
	}
	return nil
}

// Remaining returns how long a request is still refused, or zero.
func (q *Quarantine) Remaining(f cassiaid.Fingerprint) time.Duration {
	return max(0, q.sentences[f].until.Sub(q.clock.Now()))
}

// learnSentence takes over a quarantine decided elsewhere.
func (q *Quarantine) learnSentence(now time.Time, m Learned) {
	until := now.Add(min(m.Remaining, holdMax))
	if s := q.sentences[m.Fingerprint]; until.After(s.until) {
		q.sentences[m.Fingerprint] = sentence{until: until, hold: max(s.hold, holdBase)}
		q.explain(now, m.Fingerprint)
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
		return q.lost(now, a)
	}
	return q.judgeAll(now, []Run{a.run}, m.Attempt)
}

// learnAnswer takes over an answer; one from before the loss speaks for the request but does not clear it.
func (q *Quarantine) learnAnswer(now time.Time, m AnswerLearned) {
	if !m.Earlier {
		q.clearByAnswer(now, m.Fingerprint, m.Shard)
		return
	}
	q.answered.Add(now, Window, m.Fingerprint)
	q.answeredParts.Add(now, Window, runKey{m.Fingerprint, m.Shard})
}

// clearByAnswer drops the suspicion of a request's part that a target has answered, and tells whether there was any.
func (q *Quarantine) clearByAnswer(now time.Time, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	q.answered.Add(now, Window, f)
	q.answeredParts.Add(now, Window, runKey{f, shard})
	if p, ok := q.sentences[f]; ok && !now.Before(p.until) {
		delete(q.sentences, f)
	}
	s := q.suspects[f]
	if s == nil {
		return false
	}
	s.clear(shard)
	q.forgetOld(now, f, s)
	return true
}

// forgetOld drops strikes from before the window, and the suspect when none is left.
func (q *Quarantine) forgetOld(now time.Time, f cassiaid.Fingerprint, s *suspect) {
	s.forget(now.Add(-Window))
	if len(s.strikes) == 0 {
		delete(q.suspects, f)
	}
}

// lost counts the loss of a target once, against all the attempts that run on it.
func (q *Quarantine) lost(now time.Time, a *running) []Effect {
	if a.counted {
		return q.judgeAll(now, []Run{a.run}, a.run.Attempt)
	}
	loss := Loss{Target: a.target}
	for _, other := range q.attempts {
		if other.target == a.target && !other.counted {
			other.counted = true
			loss.Runs = append(loss.Runs, other.run)
		}
	}
	slices.SortFunc(loss.Runs, func(x, y Run) int { return compare(x.Attempt, y.Attempt) })
	for _, r := range loss.Runs {
		q.unshared[r.Fingerprint]++
	}
	effects := []Effect{ShareLoss{Loss: loss}}
	q.strike(now, loss, true)
	return append(effects, q.judgeAll(now, loss.Runs, a.run.Attempt)...)
}

// noteShared takes that the other owners know of a loss.
func (q *Quarantine) noteShared(loss Loss) {
	for _, r := range loss.Runs {
		if q.unshared[r.Fingerprint]--; q.unshared[r.Fingerprint] <= 0 {
			delete(q.unshared, r.Fingerprint)
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
	if len(loss.Runs) == 0 || q.knows(loss) {
		return nil
	}
	q.strike(now, loss, false)
	return append(q.vouch(now, loss), q.judgeAll(now, loss.Runs, 0)...)
}

// vouch shares that this VM's targets have answered requests which another VM now suspects.
func (q *Quarantine) vouch(now time.Time, loss Loss) []Effect {
	var effects []Effect
	for _, r := range loss.Runs {
		if q.answeredParts.Has(now, Window, runKey{r.Fingerprint, r.Shard}) {
			effects = append(effects, ShareAnswer{Fingerprint: r.Fingerprint, Shard: r.Shard, Earlier: true})
		}
	}
	return effects
}

// knows tells whether the same loss has been counted before: an attempt is lost only once.
func (q *Quarantine) knows(loss Loss) bool {
	return slices.ContainsFunc(q.losses, func(s seenLoss) bool {
		return slices.ContainsFunc(s.loss.Runs, func(known Run) bool {
			return slices.ContainsFunc(loss.Runs, func(r Run) bool { return r.Attempt == known.Attempt })
		})
	})
}

// remember adds a loss to those of the window.
func (q *Quarantine) remember(now time.Time, loss Loss) {
	q.losses = slices.DeleteFunc(q.losses, func(s seenLoss) bool { return now.Sub(s.at) > Window })
	q.losses = append(q.losses, seenLoss{at: now, loss: loss})
}

// strike adds a loss to each request that ran on the target.
func (q *Quarantine) strike(now time.Time, loss Loss, seen bool) {
	q.remember(now, loss)
	for _, r := range loss.Runs {
		s := q.suspects[r.Fingerprint]
		if s == nil {
			q.makeRoom(now)
			s = &suspect{}
			q.suspects[r.Fingerprint] = s
		}
		s.forget(now.Add(-Window))
		k := strike{at: now, target: loss.Target, shard: r.Shard, alone: r.Alone, seen: seen}
		for _, other := range loss.Runs {
			if other.Fingerprint != r.Fingerprint {
				k.others = append(k.others, other.Fingerprint)
			}
		}
		s.strikes = append(s.strikes, k)
	}
}

// makeRoom drops suspects and sentences that no longer matter.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	for f, s := range q.suspects {
		q.forgetOld(now, f, s)
	}
	for f, s := range q.sentences {
		if now.Sub(s.until) > paroleTime {
			delete(q.sentences, f)
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
func (q *Quarantine) judgeAll(now time.Time, runs []Run, ended cassiaid.AttemptID) []Effect {
	var effects []Effect
	for _, r := range runs {
		f := r.Fingerprint
		if q.Remaining(f) > 0 || !q.toBlame(now, f, ended) {
			continue
		}
		hold := q.nextHold(now, f)
		q.sentences[f] = sentence{until: now.Add(hold), hold: hold}
		q.explain(now, f)
		effects = append(effects, ShareQuarantine{Fingerprint: f, Remaining: hold})
	}
	return effects
}

// explain drops the strikes that a quarantined request accounts for.
func (q *Quarantine) explain(now time.Time, f cassiaid.Fingerprint) {
	delete(q.suspects, f)
	for other, s := range q.suspects {
		s.strikes = slices.DeleteFunc(s.strikes, func(k strike) bool { return slices.Contains(k.others, f) })
		q.forgetOld(now, other, s)
	}
}

func (q *Quarantine) nextHold(now time.Time, f cassiaid.Fingerprint) time.Duration {
	if !q.onParole(now, f) {
		return holdBase
	}
	return min(holdMax, 2*q.sentences[f].hold)
}

func (q *Quarantine) onParole(now time.Time, f cassiaid.Fingerprint) bool {
	s, ok := q.sentences[f]
	return ok && now.Sub(s.until) < paroleTime
}

// toBlame tells whether the losses speak against the request and nothing else.
func (q *Quarantine) toBlame(now time.Time, f cassiaid.Fingerprint, ended cassiaid.AttemptID) bool {
	s := q.suspects[f]
	if s == nil {
		return false
	}
	needed := q.needed(now, f)
	for _, k := range s.strikes {
		part := s.of(k.shard)
		if len(part) < needed || !onlyCommon(part) {
			continue
		}
		if ranAlone(part) || !q.answeredParts.Has(now, Window, runKey{f, k.shard}) {
			return true
		}
	}
	return q.failsEverywhere(now, f, s, needed, ended)
}

// needed returns how many losses quarantine the request.
func (q *Quarantine) needed(now time.Time, f cassiaid.Fingerprint) int {
	needed := lossesToBlame
	if q.onParole(now, f) {
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
		if !explained && !q.suspects[f].lost(l.loss.Target) {
			targets[l.loss.Target] = struct{}{}
		}
	}
	return len(targets)
}

// failsEverywhere tells whether targets of different shards were lost and none has answered the request: either after
// one that it ran on alone, or once none of its attempts runs any more among those that this VM has seen.
func (q *Quarantine) failsEverywhere(now time.Time, f cassiaid.Fingerprint, s *suspect, needed int, ended cassiaid.AttemptID) bool {
	if q.answered.Has(now, Window, f) {
		return false
	}
	if ranAlone(s.strikes) && differentTargets(s.strikes) >= needed && onlyCommon(s.strikes) {
		return true
	}
	seen := s.seen()
	return differentTargets(seen) >= needed && onlyCommon(seen) && !q.runs(f, ended)
}

// runs tells whether an attempt of the request runs on a target that is not lost.
func (q *Quarantine) runs(f cassiaid.Fingerprint, except cassiaid.AttemptID) bool {
	for id, a := range q.attempts {
		if id != except && a.run.Fingerprint == f && !a.counted {
			return true
		}
	}
	return false
}
