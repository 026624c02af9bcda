package cassiagateway

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
)

const (
	// closeMargin and closeShare set how long before the route's desired latency an answer with the required coverage
	// is returned. closeMargin covers what takes the same time on every route: sending the answer to the caller, and
	// opening a connection if the caller has none. closeShare covers processing, which takes longer on slower routes.
	closeMargin = 18 * time.Millisecond
	closeShare  = 0.04
	// minCloseShare is the least time until closeAt, as a share of the route's desired latency; it matters where the
	// desired latency is short.
	minCloseShare = 0.6
	// giveUpMargin is how long before the caller's deadline a query is given up, so that the refusal still reaches the
	// caller.
	giveUpMargin = 10 * time.Millisecond
	// attemptGrace is how long an attempt may continue after its result is no longer needed. Most attempts end within
	// that time, so their connections can be reused.
	attemptGrace = 300 * time.Millisecond
	// initialLatencyShare is the assumed latency of an attempt before minSamples were measured, as a share of the
	// route's desired latency.
	initialLatencyShare = 0.15
	// minSamples is the number of measured attempts that a route's latency estimates require.
	minSamples = 10
)

// arrive starts a query. It looks for a target for every shard first, and sends nothing if too few shards have one.
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
	if !g.mayServe(q) {
		g.refuse(now, q, RefusalUnauthorized)
		return
	}
	if g.isolation.isolated {
		if q.forOther {
			g.refuse(now, q, RefusalIsolated)
			return
		}
		if g.forward(now, q, "") {
			return
		}
	}
	g.serveLocally(now, q)
}

// serveLocally sends a query to targets if it can be served.
func (g *Gateway) serveLocally(now time.Time, q *query) {
	for _, s := range q.shards {
		// Shards that wait already come first.
		g.serveWaiting(now, s.service)
	}
	reason, admitted := g.admit(now, q)
	if reason == RefusalUnreachable && g.forwardUnreachable(now, q) {
		return
	}
	for _, s := range q.shards {
		s.service.retryBudget.Earn(now, g.allowance(now, s.service), 1)
	}
	if !admitted {
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

// newQuery creates the state of a query: its times, its shards and its preferred zone.
func (g *Gateway) newQuery(now time.Time, m Arrived) *query {
	r := m.Route
	q := &query{id: m.Query, route: r, arrivedAt: now, deadline: m.Deadline, forOther: m.ForOther, team: m.Team, key: m.Key}
	g.rankQuery(q)
	q.closeAt = now.Add(closeAfter(r.DesiredLatency))
	q.giveUpAt = m.Deadline.Add(-giveUpMargin)
	if r.Timeout > 0 && now.Add(r.Timeout).Before(q.giveUpAt) {
		q.giveUpAt = now.Add(r.Timeout)
	}
	names := r.Shards
	if !r.FansOut() {
		names = []cassiacatalog.ServiceName{g.pickService(now, r)}
	}
	for i, name := range names {
		q.shards = append(q.shards, &shard{query: q, index: cassiaid.ShardIndex(i), service: g.service(name)})
	}
	q.trace.Shards = len(q.shards)
	q.regions = allowedRegions(r, m.Team)
	q.allowed = g.zonesIn(q.regions)
	q.zones = g.zoneOrder(now, q)
	return q
}

// closeAfter returns the time from a query's arrival to its closeAt, for a route's desired latency.
func closeAfter(latency time.Duration) time.Duration {
	after := latency - closeMargin - time.Duration(closeShare*float64(latency))
	return max(after, time.Duration(minCloseShare*float64(latency)))
}

// pickService returns the service that answers a request of a route without fan-out. With several services it uses
// deficit round robin: the service furthest behind its weighted share is next, so the weights hold even over a few
// requests.
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
			// Random initial values keep the VMs from all choosing the same service at the same time.
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

// typicalLatency returns the median latency of a route's attempts. Until minSamples were measured it is at least an assumed one, and at least
// that of health checks.
func (g *Gateway) typicalLatency(now time.Time, r *cassiacatalog.Route) time.Duration {
	state := g.routeState(r.Name, now)
	median := state.latency.Quantile(0.5)
	if state.latency.Samples() < minSamples {
		return max(median, time.Duration(initialLatencyShare*float64(r.DesiredLatency)), g.checks.latency)
	}
	return median
}

// sendFirst starts the first attempt of a shard. If all its targets are busy, the shard waits; if none is reachable, it
// is given up.
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

// without removes a member from a list in place and returns the shortened list.
func without[T comparable](list []T, member T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == member })
}

// placementInput returns the input for choosing a target for a shard.
func (g *Gateway) placementInput(now time.Time, s *shard) placementInput {
	return placementInput{now: now, typical: g.typicalLatency(now, s.query.route), decayInterval: g.decayInterval(), vms: g.vmCount(now),
		zones: s.query.zones, tried: s.tried, allowed: s.query.allowed,
		limitWait: func(t *target, ahead int) time.Duration { return g.limitWait(now, t, ahead) }}
}

// sendTo starts an attempt of a shard on a target.
func (g *Gateway) sendTo(now time.Time, s *shard, t *target, typical time.Duration) {
	q := s.query
	g.nextID++
	a := &attempt{id: g.nextID, shard: s, target: t, sentAt: now, typical: typical, aggregator: g.aggregatorFor(now, q.route, t)}
	a.limited = t.limit.Limited(now) && t.limit.Take(now, g.place(now, t))
	a.throttled = t.cold.imposed.Limited(now) && t.cold.imposed.Take(now, g.place(now, t))
	g.usesTarget(now, t)
	a.pruned, a.begun = a.aggregator != "" && len(s.tried) == s.declined, a.aggregator != ""
	extra := s.spentAttempts > 0
	a.aggregatorPays = extra && g.paidByAggregator(now, s, a.aggregator)
	a.paid = extra && !a.aggregatorPays && s.unusedPayment
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
	g.turns.Served(q.turn)
	q.trace.Attempts++
	if t.Zone != g.settings.Zone {
		q.trace.OtherZones++
	}
	var floor []byte
	if a.aggregator != "" && !a.pruned {
		floor = q.leastRecord()
	}
	g.emit(Send{Query: q.id, Attempt: a.id, Shard: s.index, Target: t.Name, Address: t.Address,
		StartUnixMillis: t.StartUnixMillis, Deadline: minTime(q.deadline, q.giveUpAt.Add(giveUpMargin)), NewConnection: !q.route.Idempotent,
		Aggregator: a.aggregator, Unpruned: !a.pruned, Floor: floor, AggregatorPays: a.aggregatorPays, Force: force})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// giveUp excludes a shard from the answer unless it has already answered.
func (g *Gateway) giveUp(s *shard) {
	if s.state == shardGivenUp || s.state == shardAnswered {
		return
	}
	s.state = shardGivenUp
	s.hedgeAt = time.Time{}
	s.query.givenUp++
}

// attemptBegins cancels an attempt whose result is no longer needed; otherwise it records that bytes may be sent.
func (g *Gateway) attemptBegins(id cassiaid.AttemptID) {
	a, ok := g.attempts[id]
	if !ok {
		return
	}
	if a.cancelled || !a.cancelAt.IsZero() || a.shard.query.finished || a.shard.state != shardOpen {
		a.cancelled = true
		g.emit(Cancel{Attempt: id})
		return
	}
	if !g.mayServe(a.shard.query) {
		a.cancelled = true
		g.emit(Cancel{Attempt: id})
		return
	}
	a.begun = true
}

// attemptsEnded handles the outcomes of attempts. It records all of them before any query is answered, so that an answer
// includes all results of one frame.
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

// endAttempt records the outcome of an attempt and continues its shard, which it returns; it returns nil for an unknown
// attempt.
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
	g.observeAcceptance(now, a.target, m.Acceptance)
	g.observeStatement(now, a.target, m.Statement)
	if q.forOther && m.Statement != (cassiaavailability.Statement{}) {
		q.statements = append(q.statements, TargetStatement{Process: a.target.process(), Statement: m.Statement})
	}
	g.recordOutcome(now, a, m)
	if a.throttled && (!m.Outcome.reachedTarget() || m.Outcome == OutcomeWrongTarget) {
		a.target.cold.imposed.Return()
	}
	if !m.Outcome.reachedTarget() {
		if a.limited {
			a.target.limit.Return()
		}
		s.spentAttempts--
		s.unusedPayment = s.unusedPayment || a.paid
	}
	if m.Outcome == OutcomeTargetUnknown {
		// The aggregator did not know the target, which may still be reachable another way.
		s.tried = without(s.tried, a.target)
	}
	if m.Outcome.mayHaveRun() {
		q.mayHaveRun = true
	}
	switch {
	case q.finished, q.forward != nil:
	case s.state == shardOpen:
		g.continueShard(now, a, m)
	case a.pruned && m.Outcome == OutcomeAnswered:
		g.replaceReply(s, m.Reply)
	}
	return s
}

// recordOutcome updates the measurements of the link, the aggregator, the target and the route after an attempt.
func (g *Gateway) recordOutcome(now time.Time, a *attempt, m AttemptEnded) {
	elapsed, outcome := now.Sub(a.sentAt), m.Outcome
	a.link.attemptEnded(now, a, outcome)
	switch outcome {
	case OutcomeAbandoned, OutcomeWithheld, OutcomeQuarantined:
		return
	case OutcomeOverBudget, OutcomeUnwanted:
		g.aggregators.resetFailures(a.aggregator)
		return
	case OutcomeUnfit:
		g.aggregators.resetFailures(a.aggregator)
		a.target.unfitUntil = now.Add(unfitBackoff)
		return
	case OutcomeAggregatorLost, OutcomeTargetUnknown:
		g.backOffAggregator(now, a.link.key, outcome)
		return
	}
	if a.aggregator != "" && outcome == OutcomeSilent {
		return
	}
	if a.aggregator != "" {
		g.aggregators.resetFailures(a.aggregator)
	} else {
		g.observeReach(now, a.sentAt, outcome)
	}
	a.target.endTrial(a.sentAt, outcome)
	a.target.heard = a.target.heard || outcome == OutcomeAnswered || outcome == OutcomeFailed || outcome == OutcomeRejected
	if outcome == OutcomeRejected && a.target.hasRate(now) || m.Statement.Pause > 0 {
		// It is healthy, and has more requests than it accepts.
		return
	}
	if outcome != OutcomeAnswered {
		wasEjected := a.target.ejected()
		a.target.failed(now, outcome, g.decayInterval())
		if a.target.ejected() {
			g.watch(a.target)
		}
		if t := a.target; t.ejected() && !wasEjected {
			g.emit(ViewChanged{Event: EventEjected, Target: t.Name, Zone: t.Zone, Cause: outcome, Unreached: t.ejections})
		}
		if a.target.replaced {
			g.refresh(now)
		}
		return
	}
	a.target.succeeded(now, float64(elapsed)/float64(max(a.typical, time.Millisecond)), g.decayInterval())
	if !a.target.hasRate(now) {
		g.routeState(a.shard.query.route.Name, now).latency.Observe(elapsed)
	}
}

// replaceReply makes the pruned result of an aggregator the answer of its shard, in place of another target's result,
// even if the shard was given up. The aggregator has dropped records from later results because this result has greater
// ones, so the answer must include this one.
func (g *Gateway) replaceReply(s *shard, reply *Reply) {
	if s.state == shardGivenUp {
		s.query.givenUp--
		s.query.answered++
		s.state = shardAnswered
	}
	s.reply = reply
}

// continueShard handles an attempt of a shard that has no answer yet: it takes the reply, or tries another target.
func (g *Gateway) continueShard(now time.Time, a *attempt, m AttemptEnded) {
	s, q := a.shard, a.shard.query
	if m.Outcome == OutcomeAnswered {
		s.state, s.reply = shardAnswered, m.Reply
		s.hedgeAt = time.Time{}
		q.answered++
		for _, other := range s.running {
			g.cancelAfter(other, other.sentAt.Add(attemptGrace))
		}
		return
	}
	q.recordFailure(a, m.Outcome)
	if m.Outcome == OutcomeUnfit {
		s.declined++
	}
	if m.Outcome == OutcomeQuarantined {
		q.quarantined = true
	}
	if m.Outcome == OutcomeFailed {
		s.failure = m.Reply
	}
	if len(s.running) > 0 {
		if m.Outcome == OutcomeOverBudget || m.Outcome == OutcomeUnfit {
			// Hedge again at once: a target in another zone has another aggregator, which may send it.
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

// retry sends a shard to another target, or has it wait if the targets are busy. The shard is given up if no target is
// reachable or the retry budget does not allow another attempt.
func (g *Gateway) retry(now time.Time, s *shard, outcome Outcome) {
	in := g.placementInput(now, s)
	t, found := s.service.pickTarget(in)
	free := s.spentAttempts == 0 || s.unusedPayment
	switch {
	case !g.mayServe(s.query):
		g.giveUp(s)
	case found == unreachable, outcome == OutcomeOverBudget && slices.Contains(s.tried, t):
		g.giveUp(s)
	case !g.payForExtra(now, s, t):
		g.countExtraRequest(s.query, ExtraDenied)
		g.giveUp(s)
	case found == busy:
		g.enqueue(now, s)
		g.dropRestricted(now, s.service)
	default:
		if free {
			g.countExtraRequest(s.query, ExtraUnpaid)
		} else {
			g.countExtraRequest(s.query, ExtraRetry)
		}
		g.sendTo(now, s, t, in.typical)
	}
}

// countExtraRequest counts an attempt beyond the first, or its denial, in the query's trace and reports it.
func (g *Gateway) countExtraRequest(q *query, kind ExtraRequestKind) {
	switch kind {
	case ExtraHedge:
		q.trace.Hedges++
	case ExtraRetry:
		q.trace.Retries++
	case ExtraUnpaid:
		q.trace.Retries++
		q.trace.Unpaid++
	case ExtraDenied:
		q.trace.Denied++
	}
	g.emit(ExtraRequest{Kind: kind})
}

// payForExtra reports whether the next attempt of a shard is paid for, and charges the retry budget if necessary. The
// first attempt is free, and so is one that follows a paid attempt that reached no target. For a target with scarce
// connections its aggregator pays.
func (g *Gateway) payForExtra(now time.Time, s *shard, t *target) bool {
	if s.spentAttempts == 0 || s.unusedPayment || t != nil && g.paidByAggregator(now, s, g.aggregatorFor(now, s.query.route, t)) {
		return true
	}
	s.unusedPayment = s.service.retryBudget.Take(now, g.allowance(now, s.service))
	return s.unusedPayment
}

// paidByAggregator reports whether an attempt beyond the first is paid for by its aggregator; aggregator is empty if
// this VM sends the attempt.
func (g *Gateway) paidByAggregator(now time.Time, s *shard, aggregator cassiaid.VMName) bool {
	return aggregator != "" && s.service.connectionsScarce(g.vmCount(now))
}

// mayRetry reports whether a shard whose attempt ended with the given outcome may be sent to another target.
func (s *shard) mayRetry(outcome Outcome) bool {
	if outcome == OutcomeWithheld || outcome == OutcomeQuarantined {
		return false
	}
	r := s.query.route
	return s.spentAttempts-s.cutOff < max(1, r.MaxAttempts) && len(s.tried) < maxPlacements &&
		(r.Idempotent || !outcome.mayHaveRun())
}

// maxDeclined is the number of attempts of one shard that aggregators may decline because they consider the target
// unfit; the next attempt is forced.
const maxDeclined = 2

// maxPlacements limits the targets chosen for one shard, whether or not they were reached.
const maxPlacements = 6

// callerGone ends a query whose caller no longer waits.
func (g *Gateway) callerGone(now time.Time, id QueryID) {
	q, ok := g.queries[id]
	if !ok {
		return
	}
	g.release(now, q)
}

// release removes a query and schedules the cancellation of its running attempts.
func (g *Gateway) release(now time.Time, q *query) {
	g.cancelForward(q)
	q.finished = true
	q.trace.Elapsed = now.Sub(q.arrivedAt)
	delete(g.queries, q.id)
	g.active = without(g.active, q)
	for _, s := range q.shards {
		for _, a := range s.running {
			g.cancelAfter(a, now.Add(attemptGrace))
		}
	}
}

// advance ends a query that is complete, can no longer reach the required coverage, or is out of time.
func (g *Gateway) advance(now time.Time, q *query) {
	switch {
	case q.finished, q.forward != nil:
	case q.complete(now):
		g.finish(now, q)
	case q.quarantined && q.answered < q.required():
		g.refuse(now, q, RefusalQuarantined)
	case q.coverageImpossible():
		g.refuse(now, q, RefusalFailed)
	case !now.Before(q.giveUpAt):
		g.refuse(now, q, RefusalTimedOut)
	}
}

// finish ends a query with an answer.
func (g *Gateway) finish(now time.Time, q *query) {
	g.release(now, q)
	g.observeLateness(now, q)
	q.trace.Answered = q.answered
	answer := Answer{Trace: q.trace, Statements: q.statements}
	if q.route.FansOut() {
		answer.Merged = q.merged()
	} else {
		answer.Reply = q.shards[0].reply
	}
	g.emit(Finish{Query: q.id, Answer: answer})
}
