package cassiagateway

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
)

const (
	// An answer with enough shards is closed so long before the route's target latency: the way to the caller, and the
	// connection that it may have opened first, take a fixed time, and the processors add a share.
	closeMargin = 18 * time.Millisecond
	closeShare  = 0.04
	// minCloseShare is the part of a short target latency that is left for the targets at least.
	minCloseShare = 0.6
	// giveUpMargin is how long before the caller's deadline a request is given up, so that the caller still gets an answer.
	giveUpMargin = 10 * time.Millisecond
	// attemptGrace is how long an attempt may go on that nobody needs any more: most end by then, and their connections are
	// kept.
	attemptGrace = 300 * time.Millisecond
	// initialLatencyShare is the part of a route's target latency that an attempt is taken to need before any was seen.
	initialLatencyShare = 0.15
	// minSamples is how many attempts the estimates of a route need.
	minSamples = 10
)

// arrive begins a request: it looks for a target of each shard first and sends nothing if too few have one.
func (g *Gateway) arrive(now time.Time, m Arrived) {
	q := g.newQuery(now, m)
	g.queries[q.id] = q
	g.active = append(g.active, q)
	if !now.Before(q.giveUpAt) {
		g.refuse(now, q, RefusalTimedOut)
		return
	}
	g.observeArrival(now)
	g.routeState(q.route.Name, now).countRequest(now, q.route)
	for _, s := range q.shards {
		s.service.retryBudget.Earn(now, g.allowance(now, s.service), 1)
	}
	if reason, ok := g.admit(now, q); !ok {
		g.refuse(now, q, reason)
		return
	}
	for _, s := range q.shards {
		if s.state == shardOpen {
			g.sendFirst(now, s)
		}
	}
	g.advance(now, q)
}

func (g *Gateway) newQuery(now time.Time, m Arrived) *query {
	r := m.Route
	q := &query{id: m.Query, route: r, arrived: now, deadline: m.Deadline}
	q.closeAt = now.Add(closeAfter(r.TargetLatency))
	q.giveUpAt = m.Deadline.Add(-giveUpMargin)
	if r.Timeout > 0 && now.Add(r.Timeout).Before(q.giveUpAt) {
		q.giveUpAt = now.Add(r.Timeout)
	}
	names := r.Shards
	if !r.FansOut() {
		names = []cassiacatalog.ServiceName{g.pickService(now, r)}
	}
	for _, name := range names {
		q.shards = append(q.shards, &shard{query: q, service: g.service(name)})
	}
	q.trace.Shards = len(q.shards)
	q.zone = g.preferredZone(r)
	return q
}

// closeAfter returns how long after its arrival an answer is closed.
func closeAfter(latency time.Duration) time.Duration {
	after := latency - closeMargin - time.Duration(closeShare*float64(latency))
	return max(after, time.Duration(minCloseShare*float64(latency)))
}

// pickService returns the service of a route, by weight if there are several. The part that is furthest behind its weight is
// next, so that shares hold over any few requests.
func (g *Gateway) pickService(now time.Time, r *cassiacatalog.Route) cassiacatalog.ServiceName {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	deficit := g.routeState(r.Name, now).deficit
	best := -1
	for i, p := range r.Split {
		if _, seen := deficit[p.Service]; !seen {
			// Random starts keep VMs from taking the same turns.
			deficit[p.Service] = g.random.Float64() - 0.5
		}
		if total > 0 {
			deficit[p.Service] += p.Weight / total
		}
		if p.Weight > 0 && (best < 0 || deficit[p.Service] > deficit[r.Split[best].Service]) {
			best = i
		}
	}
	best = max(best, 0)
	deficit[r.Split[best].Service]--
	return r.Split[best].Service
}

// typicalLatency returns how long an attempt of a route usually takes.
func (g *Gateway) typicalLatency(now time.Time, r *cassiacatalog.Route) time.Duration {
	state := g.routeState(r.Name, now)
	if state.latency.Samples() < minSamples {
		return time.Duration(initialLatencyShare * float64(r.TargetLatency))
	}
	return state.latency.Quantile(0.5)
}

// sendFirst starts the first attempt of a shard, or has the shard wait for room.
func (g *Gateway) sendFirst(now time.Time, s *shard) {
	in := g.placementInput(now, s)
	switch t, found := s.service.pickTarget(in); found {
	case unreachable:
		g.giveUp(s)
	case busy:
		g.enqueue(now, s)
	default:
		g.sendTo(now, s, t, in.typical)
	}
}

// without returns a list without one of its members; the list itself is changed.
func without[T comparable](list []T, member T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == member })
}

// placementInput returns what a shard looks for a target with.
func (g *Gateway) placementInput(now time.Time, s *shard) placementInput {
	return placementInput{now: now, typical: g.typicalLatency(now, s.query.route), decayInterval: g.decayInterval(), vms: g.vmCount(now), zone: s.query.zone, tried: s.tried}
}

func (g *Gateway) sendTo(now time.Time, s *shard, t *target, typical time.Duration) {
	q := s.query
	g.nextID++
	a := &attempt{id: g.nextID, shard: s, target: t, sent: now, typical: typical, aggregator: g.aggregatorFor(now, q.route, t)}
	a.pruned, a.begun = a.aggregator != "" && len(s.tried) == s.declined, a.aggregator != ""
	repeat := s.spentAttempts > 0
	a.extra = repeat && g.paidByAggregator(now, s, a.aggregator)
	a.paid = repeat && !a.extra && s.unusedPayment
	s.unusedPayment = s.unusedPayment && !a.paid
	force := slices.Contains(s.tried, t) || s.declined >= maxDeclined
	a.link = g.linkFor(linkKey{zone: t.Zone, aggregator: a.aggregator})
	a.link.attemptStarted(a)
	g.attempts[a.id] = a
	t.running = append(t.running, a)
	s.running = append(s.running, a)
	s.tried = append(s.tried, t)
	s.spentAttempts++
	s.state = shardOpen
	s.hedgeAt = g.hedgeTime(now, s)
	q.trace.Attempts++
	g.emit(Send{Query: q.id, Attempt: a.id, Target: t.Name, Address: t.Address,
		Deadline: minTime(q.deadline, q.giveUpAt.Add(giveUpMargin)), Fresh: !q.route.Idempotent,
		Via: a.aggregator, Whole: !a.pruned, Extra: a.extra, Force: force})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// giveUp gives a shard up.
func (g *Gateway) giveUp(s *shard) {
	if s.state == shardGivenUp || s.state == shardAnswered {
		return
	}
	s.state = shardGivenUp
	s.hedgeAt = time.Time{}
	s.query.givenUp++
}

// attemptBegins lets an attempt go on unless nobody needs it any more.
func (g *Gateway) attemptBegins(id cassiaid.AttemptID) {
	a, ok := g.attempts[id]
	if !ok {
		return
	}
	if a.cancelled || a.shard.query.finished || a.shard.state != shardOpen {
		a.cancelled = true
		g.emit(Cancel{Attempt: id})
		return
	}
	a.begun = true
}

// attemptsEnded learns from attempts, and goes on with their requests once all of them count.
func (g *Gateway) attemptsEnded(now time.Time, ended []AttemptEnded) {
	var affected []*shard
	for _, m := range ended {
		if s := g.endAttempt(now, m); s != nil {
			affected = append(affected, s)
		}
	}
	for _, s := range affected {
		g.advance(now, s.query)
		g.serveWaiting(now, s.service)
	}
}

// endAttempt learns from an attempt and goes on with its shard, which it returns.
func (g *Gateway) endAttempt(now time.Time, m AttemptEnded) *shard {
	a, ok := g.attempts[m.Attempt]
	if !ok {
		return nil
	}
	delete(g.attempts, a.id)
	s, q := a.shard, a.shard.query
	a.target.running = without(a.target.running, a)
	s.running = without(s.running, a)
	g.unneeded = without(g.unneeded, a)
	g.recordOutcome(now, a, m.Outcome)
	if !m.Outcome.reachedTarget() {
		s.spentAttempts--
		s.unusedPayment = s.unusedPayment || a.paid
	}
	if m.Outcome == OutcomePathUnfit {
		// The target may well be there.
		s.tried = without(s.tried, a.target)
	}
	if m.Outcome.mayHaveRun() {
		q.mayHaveRun = true
	}
	switch {
	case q.finished:
	case s.state == shardOpen:
		g.continueShard(now, a, m)
	case a.pruned && m.Outcome == OutcomeAnswered:
		g.replaceReply(s, m.Reply)
	}
	return s
}

func (g *Gateway) recordOutcome(now time.Time, a *attempt, outcome Outcome) {
	elapsed := now.Sub(a.sent)
	a.link.attemptEnded(now, a, outcome)
	switch outcome {
	case OutcomeAbandoned:
		return
	case OutcomeOverBudget:
		g.aggregators.resetFailures(a.aggregator)
		return
	case OutcomeUnfit:
		g.aggregators.resetFailures(a.aggregator)
		a.target.unfitUntil = now.Add(unfitBackoff)
		return
	case OutcomePathLost, OutcomePathUnfit:
		g.backOffAggregator(now, a.link.key, outcome)
		return
	}
	if a.aggregator != "" && outcome == OutcomeSilent {
		return
	}
	if a.aggregator != "" {
		g.aggregators.resetFailures(a.aggregator)
	}
	if outcome != OutcomeAnswered {
		wasEjected := a.target.ejected()
		a.target.failed(now, outcome, g.decayInterval())
		if t := a.target; t.ejected() && !wasEjected {
			g.emit(Noted{Event: EventEjected, Target: t.Name, Zone: t.Zone, Cause: outcome, Unreached: t.unreachedCount})
		}
		if a.target.replaced {
			g.refresh(now)
		}
		return
	}
	a.target.succeeded(now, float64(elapsed)/float64(max(a.typical, time.Millisecond)), g.decayInterval())
	g.routeState(a.shard.query.route.Name, now).latency.Observe(elapsed)
}

// replaceReply puts a sieved part in place of the one that another target gave for the shard: later parts of the same VM left
// out what is less than its records.
func (g *Gateway) replaceReply(s *shard, reply *Reply) {
	if s.state == shardGivenUp {
		s.query.givenUp--
		s.query.answered++
		s.state = shardAnswered
	}
	s.reply = reply
}

// continueShard uses the reply of an open shard's attempt or tries again.
func (g *Gateway) continueShard(now time.Time, a *attempt, m AttemptEnded) {
	s, q := a.shard, a.shard.query
	if m.Outcome == OutcomeAnswered {
		s.state, s.reply = shardAnswered, m.Reply
		s.hedgeAt = time.Time{}
		q.answered++
		for _, other := range s.running {
			g.cancelAfter(other, other.sent.Add(attemptGrace))
		}
		return
	}
	q.recordFailure(a, m.Outcome)
	if m.Outcome == OutcomeUnfit {
		s.declined++
	}
	if m.Outcome == OutcomeFailed {
		s.failure = m.Reply
	}
	if len(s.running) > 0 {
		if m.Outcome == OutcomeOverBudget || m.Outcome == OutcomeUnfit {
			// The target of another zone may do.
			s.hedgeAt = now
		}
		return
	}
	if !s.mayRetry(m.Outcome) {
		g.giveUp(s)
		return
	}
	g.retry(now, s, m.Outcome)
}

// retry sends a shard once more, if that can be paid for.
func (g *Gateway) retry(now time.Time, s *shard, outcome Outcome) {
	in := g.placementInput(now, s)
	t, found := s.service.pickTarget(in)
	free := s.spentAttempts == 0 || s.unusedPayment
	switch {
	case found == unreachable, outcome == OutcomeOverBudget && slices.Contains(s.tried, t):
		g.giveUp(s)
	case !g.payForRepeat(now, s, t):
		g.countRepeat(s.query, RepeatDenied)
		g.giveUp(s)
	case found == busy:
		g.enqueue(now, s)
	default:
		if free {
			g.countRepeat(s.query, RepeatUnpaid)
		} else {
			g.countRepeat(s.query, RepeatRetry)
		}
		g.sendTo(now, s, t, in.typical)
	}
}

// countRepeat counts a repeat of a query.
func (g *Gateway) countRepeat(q *query, kind RepeatKind) {
	switch kind {
	case RepeatHedge:
		q.trace.Hedges++
	case RepeatRetry:
		q.trace.Retries++
	case RepeatUnpaid:
		q.trace.Retries++
		q.trace.Unpaid++
	case RepeatDenied:
		q.trace.Denied++
	}
	g.emit(Repeated{Kind: kind})
}

// payForRepeat has the next attempt of a shard paid for: the first one costs none, nor does one whose payment by this VM bought nothing
// yet. The VM that sends for all to a target whose connections are scarce pays itself.
func (g *Gateway) payForRepeat(now time.Time, s *shard, t *target) bool {
	if s.spentAttempts == 0 || s.unusedPayment || t != nil && g.paidByAggregator(now, s, g.aggregatorFor(now, s.query.route, t)) {
		return true
	}
	s.unusedPayment = s.service.retryBudget.Take(now, g.allowance(now, s.service))
	return s.unusedPayment
}

// paidByAggregator tells whether a repeat of a shard that goes by a VM, if that is another one, is paid for there.
func (g *Gateway) paidByAggregator(now time.Time, s *shard, aggregator cassiaid.VMName) bool {
	return aggregator != "" && s.service.connectionsScarce(g.vmCount(now))
}

// mayRetry tells whether a shard whose attempt ended so may be sent to another target.
func (s *shard) mayRetry(outcome Outcome) bool {
	r := s.query.route
	return s.spentAttempts < max(1, r.MaxAttempts) && len(s.tried) < maxPlacements &&
		(r.Idempotent || !outcome.mayHaveRun())
}

// maxDeclined is how many targets may be found unfit for a shard before it is sent in any case.
const maxDeclined = 2

// maxPlacements bounds the targets that one request is sent towards, reached or not.
const maxPlacements = 6

// callerGone ends a request that nobody waits for.
func (g *Gateway) callerGone(now time.Time, id QueryID) {
	q, ok := g.queries[id]
	if !ok {
		return
	}
	g.release(now, q)
}

// release stops everything that is under way for a query.
func (g *Gateway) release(now time.Time, q *query) {
	q.finished = true
	q.trace.Elapsed = now.Sub(q.arrived)
	delete(g.queries, q.id)
	g.active = without(g.active, q)
	for _, s := range q.shards {
		for _, a := range s.running {
			g.cancelAfter(a, now.Add(attemptGrace))
		}
	}
}

// advance ends a request if its answer is complete, hopeless or out of time.
func (g *Gateway) advance(now time.Time, q *query) {
	switch {
	case q.finished:
	case q.complete(now):
		g.finish(now, q)
	case q.coverageImpossible():
		g.refuse(now, q, RefusalFailed)
	case !now.Before(q.giveUpAt):
		g.refuse(now, q, RefusalTimedOut)
	}
}

func (g *Gateway) finish(now time.Time, q *query) {
	g.release(now, q)
	g.observeLateness(now, q)
	q.trace.Answered = q.answered
	answer := Answer{Trace: q.trace}
	if q.route.FansOut() {
		answer.Merged = q.merged()
	} else {
		answer.Reply = q.shards[0].reply
	}
	g.emit(Finish{Query: q.id, Answer: answer})
}
