package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

const (
	// defaultMaxQueued is the default maximum number of attempts that wait for one target.
	defaultMaxQueued = 64
	// waitMargin is the factor on the estimated wait; it is above 1 so that few admitted attempts miss their deadlines.
	waitMargin = 1.25
	// startMargin decides which of the attempts of the same priority starts first: one whose deadline is at least startMargin times
	// the expected duration away starts before those with less time left.
	startMargin = 1.5
	// maxRateWait is how long an attempt waits at most for the rate that the target accepts, or for the end of its pause. Another replica, or an answer without
	// the shard, serves the caller better than a longer wait.
	maxRateWait = 50 * time.Millisecond
)

// Bounds are the upper bounds of a Limiter.
type Bounds struct {
	// Concurrency is the maximum number of attempts that run at once; zero means 1. It must not exceed the number of connections
	// that the VM may open to the target.
	Concurrency int
	// Queue is the maximum number of attempts that wait; zero means 64.
	Queue int
	// Owners is the number of VMs that send to the target; zero means 1.
	Owners int
}

// Limiter decides when the attempts of one VM start on one target. It is not safe for concurrent use.
type Limiter struct {
	clock    cassiaplan.Clock
	bounds   Bounds
	adaptive adaptive
	// rate is this VM's part of the rate that the target accepts, if it names one.
	rate    cassiabudget.RateLimit
	queue   queue
	running map[cassiaid.AttemptID]runningAttempt
	// alone is true while an attempt runs that has to run alone.
	alone    bool
	draining bool
	// pausedUntil is until when the target wants no attempts.
	pausedUntil time.Time
	wakeAt      time.Time
}

// runningAttempt records how an attempt was started.
type runningAttempt struct {
	// alone is true when the attempt has to run alone, startedIdle when no other attempt was running when it started.
	alone, startedIdle bool
}

// NewLimiter returns the Limiter of a target on which no attempt has run yet; its limit starts at 1.
func NewLimiter(clock cassiaplan.Clock, bounds Bounds) *Limiter {
	l := &Limiter{clock: clock, running: make(map[cassiaid.AttemptID]runningAttempt)}
	l.setBounds(bounds)
	l.adaptive.reset()
	return l
}

// Update processes a message and returns the effects that the caller has to perform, in order.
func (l *Limiter) Update(m Message) []Effect {
	now := l.clock.Now()
	var effects []Effect
	switch m := m.(type) {
	case Offer:
		effects = l.offer(now, m)
	case Done:
		l.done(now, m)
	case Cancel:
		effects = l.cancel(m.ID)
	case Drain:
		l.draining = true
		effects = l.refuseAll(ReasonDraining)
	case Undrain:
		if l.draining {
			l.draining = false
			l.adaptive.reset()
		}
	case Lost:
		l.adaptive.reset()
		l.rate, l.pausedUntil = cassiabudget.RateLimit{}, time.Time{}
		effects = l.refuseAll(ReasonLost)
	case BoundsChanged:
		l.setBounds(m.Bounds)
		l.adaptive.clamp(l.bounds.Concurrency)
	case Pause:
		effects = l.pause(now, m.Until)
	case Tick:
		l.wakeAt = time.Time{}
	}
	return l.advance(now, effects)
}

// Limit returns the number of attempts that may currently run at once.
func (l *Limiter) Limit() int { return l.adaptive.current(l.bounds.Concurrency) }

// Running returns the number of running attempts.
func (l *Limiter) Running() int { return len(l.running) }

// Queued returns the number of waiting attempts.
func (l *Limiter) Queued() int { return len(l.queue.offers) }

func (l *Limiter) setBounds(b Bounds) {
	b.Concurrency = max(1, b.Concurrency)
	if b.Queue <= 0 {
		b.Queue = defaultMaxQueued
	}
	l.bounds = b
}

// offer queues the attempt, or refuses it when the target is draining or can't serve it before its deadline. When the queue is full
// and nothing can start, it refuses the last attempt of the queue.
func (l *Limiter) offer(now time.Time, o Offer) []Effect {
	if l.has(o.ID) {
		return nil
	}
	if l.draining {
		return []Effect{Refuse{ID: o.ID, Reason: ReasonDraining}}
	}
	if !now.Before(o.Deadline) {
		return []Effect{Refuse{ID: o.ID, Reason: ReasonTimedOut}}
	}
	at := l.queue.position(o)
	if now.Add(l.estimateWait(now, at) + l.adaptive.estimate.expected(now)).After(o.Deadline) {
		return []Effect{Refuse{ID: o.ID, Reason: ReasonOverloaded}}
	}
	if l.rate.Wait(now, l.place(), len(l.queue.offers)) > maxRateWait || l.pausedUntil.Sub(now) > maxRateWait {
		return []Effect{Refuse{ID: o.ID, Reason: ReasonOverloaded}}
	}
	l.queue.insert(at, o)
	if len(l.queue.offers) <= l.bounds.Queue {
		return nil
	}
	if l.canStart(now, l.queue.offers[l.queue.nextIndex(now, l.requiredTime(now))]) {
		return nil
	}
	return []Effect{Refuse{ID: l.queue.takeLast().ID, Reason: ReasonOverloaded}}
}

// pause starts nothing until a time, and then starts from a low limit. It refuses the waiting attempts unless the pause is short.
func (l *Limiter) pause(now, until time.Time) []Effect {
	l.pausedUntil = until
	l.adaptive.reset()
	if until.Sub(now) <= maxRateWait {
		return nil
	}
	return l.refuseAll(ReasonOverloaded)
}

// has reports whether an attempt is waiting or running.
func (l *Limiter) has(id cassiaid.AttemptID) bool {
	_, ok := l.running[id]
	return ok || l.queue.has(id)
}

// requiredTime returns how long before its deadline an attempt has to start so that it very likely ends in time.
func (l *Limiter) requiredTime(now time.Time) time.Duration {
	return time.Duration(startMargin * float64(l.adaptive.estimate.expected(now)))
}

// estimateWait estimates how long an attempt waits when ahead attempts are queued before it.
func (l *Limiter) estimateWait(now time.Time, ahead int) time.Duration {
	limit := l.Limit()
	free := max(0, limit-len(l.running))
	var wait time.Duration
	if ahead >= free {
		expected := l.adaptive.estimate.expected(now)
		wait = time.Duration(float64(ahead-free+1) * float64(expected) / float64(limit) * waitMargin)
	}
	return max(wait, l.startsAt().Sub(now), l.rate.Wait(now, l.place(), ahead))
}

// startsAt returns the time before which no attempt starts, because of the target's pause or its refusals.
func (l *Limiter) startsAt() time.Time {
	if l.pausedUntil.After(l.adaptive.pausedUntil) {
		return l.pausedUntil
	}
	return l.adaptive.pausedUntil
}

// place returns this VM's place among the owners, which all have a part of the rate.
func (l *Limiter) place() cassiabudget.Place { return cassiabudget.Place{Members: l.bounds.Owners} }

func (l *Limiter) done(now time.Time, m Done) {
	r, ok := l.running[m.ID]
	if !ok {
		return
	}
	busy := len(l.running) >= l.Limit()
	delete(l.running, m.ID)
	if r.alone {
		l.alone = false
	}
	l.rate.Observe(now, l.place(), m.Acceptance)
	if m.Outcome == cassiaschema.ShardOutcome_overloaded && l.rate.Limited(now) || now.Before(l.pausedUntil) {
		// The target is healthy, and has more requests than it accepts.
		return
	}
	l.adaptive.done(now, m, busy, r.startedIdle, l.bounds.Concurrency)
}

func (l *Limiter) cancel(id cassiaid.AttemptID) []Effect {
	if _, ok := l.running[id]; ok {
		return []Effect{Stop{ID: id}}
	}
	if l.queue.remove(id) {
		return []Effect{Refuse{ID: id, Reason: ReasonCancelled}}
	}
	return nil
}

func (l *Limiter) refuseAll(reason Reason) []Effect {
	var effects []Effect
	for _, o := range l.queue.offers {
		effects = append(effects, Refuse{ID: o.ID, Reason: reason})
	}
	l.queue.offers = nil
	return effects
}

// advance refuses the waiting attempts that can no longer meet their deadlines, starts those that may start, and asks for a Tick
// for the rest.
func (l *Limiter) advance(now time.Time, effects []Effect) []Effect {
	for _, o := range l.queue.takeLate(now, l.adaptive.estimate.expected(now)) {
		reason := ReasonTimedOut
		if now.Before(o.Deadline) {
			// Another target may still answer in time.
			reason = ReasonOverloaded
		}
		effects = append(effects, Refuse{ID: o.ID, Reason: reason})
	}
	for len(l.queue.offers) > 0 {
		at := l.queue.nextIndex(now, l.requiredTime(now))
		if !l.canStart(now, l.queue.offers[at]) {
			break
		}
		o := l.queue.take(at)
		l.running[o.ID] = runningAttempt{alone: o.Alone, startedIdle: len(l.running) == 0}
		l.alone = l.alone || o.Alone
		l.rate.Take(now, l.place())
		effects = append(effects, Start{ID: o.ID})
	}
	return l.scheduleWake(now, effects)
}

func (l *Limiter) canStart(now time.Time, o Offer) bool {
	if l.alone || now.Before(l.startsAt()) || l.rate.Wait(now, l.place(), 0) > 0 {
		return false
	}
	if o.Alone {
		return len(l.running) == 0
	}
	return len(l.running) < l.Limit()
}

func (l *Limiter) scheduleWake(now time.Time, effects []Effect) []Effect {
	at := l.queue.earliestDeadline()
	if !at.IsZero() {
		at = at.Add(-l.adaptive.estimate.expected(now))
	}
	if paused := l.startsAt(); len(l.queue.offers) > 0 && now.Before(paused) && paused.Before(at) {
		at = paused
	}
	if len(l.queue.offers) > 0 {
		if wait := l.rate.Wait(now, l.place(), 0); wait > 0 && now.Add(wait).Before(at) {
			at = now.Add(wait)
		}
	}
	if at.IsZero() || at.Equal(l.wakeAt) {
		return effects
	}
	l.wakeAt = at
	return append(effects, WakeAt{Time: at})
}
