package cassiagateway

import (
	"slices"
	"time"
)

// maxWaiting limits the shards that wait for one service.
const maxWaiting = 256

// waitQueue holds the shards of one service that wait for a free target. Shards that can still answer in time come
// before those that cannot; then the priority decides, then the turn of the query's team, then arrival.
type waitQueue struct {
	shards []*shard
}

// push adds a shard; it returns false if the queue is full.
func (q *waitQueue) push(s *shard) bool {
	if len(q.shards) >= maxWaiting {
		q.dropEnded()
	}
	if len(q.shards) >= maxWaiting {
		return false
	}
	at, _ := slices.BinarySearchFunc(q.shards, s, func(a, b *shard) int {
		if a.ranksAfter(b) {
			return 1
		}
		return -1
	})
	q.shards = slices.Insert(q.shards, at, s)
	return true
}

// ranksAfter reports whether a shard is served after another waiting shard.
func (s *shard) ranksAfter(other *shard) bool {
	if s.late != other.late {
		return s.late
	}
	if s.query.priority != other.query.priority {
		return s.query.priority > other.query.priority
	}
	return s.query.turn > other.query.turn
}

// head returns the next shard, or nil if none waits; it drops shards that no longer wait.
func (q *waitQueue) head() *shard {
	for len(q.shards) > 0 {
		if s := q.shards[0]; s.isWaiting() {
			return s
		}
		q.shards = q.shards[1:]
	}
	return nil
}

// next returns the next shard of a query that may run elsewhere than those that were passed over, or nil if none waits.
func (q *waitQueue) next(passed []string) *shard {
	if len(passed) == 0 {
		return q.head()
	}
	for _, s := range q.shards {
		if s.isWaiting() && !slices.Contains(passed, s.query.regions.key()) {
			return s
		}
	}
	return nil
}

// mixed reports whether queries wait that may run in different regions.
func (q *waitQueue) mixed() bool {
	return slices.ContainsFunc(q.shards, func(s *shard) bool { return s.query.regions.restricted })
}

// remove removes a shard that head or next returned.
func (q *waitQueue) remove(s *shard) {
	if q.shards[0] == s {
		q.shards = q.shards[1:]
		return
	}
	q.shards = without(q.shards, s)
}

// postpone moves a waiting shard behind all that can still answer in time.
func (q *waitQueue) postpone(s *shard) {
	q.shards = without(q.shards, s)
	s.late = true
	q.push(s)
}

// ahead returns how many shards would be served before a new one that can answer in time.
func (q *waitQueue) ahead(added *shard) int {
	n := 0
	for _, s := range q.shards {
		if s.isWaiting() && !s.ranksAfter(added) {
			n++
		}
	}
	return n
}

// dropEnded drops shards that no longer wait.
func (q *waitQueue) dropEnded() {
	q.shards = slices.DeleteFunc(q.shards, func(s *shard) bool { return !s.isWaiting() })
}

// isWaiting reports whether the shard waits and its query is not finished.
func (s *shard) isWaiting() bool { return s.state == shardWaiting && !s.query.finished }

// enqueue makes a shard without running attempts wait for a free target; if the queue is full, the shard is given up.
func (g *Gateway) enqueue(now time.Time, s *shard) {
	if len(s.running) > 0 {
		return
	}
	s.state = shardWaiting
	s.dropAt = s.query.closeAt.Add(-g.typicalLatency(now, s.query.route))
	if !s.service.waiting.push(s) {
		s.state = shardOpen
		s.query.overloaded = true
		g.giveUp(s)
	}
}

// mayWait reports whether a new shard that has to wait because of what its targets have stated may do so: it will be answered in time,
// or nothing else waits and it can still be answered.
func (g *Gateway) mayWait(now time.Time, s *shard, best candidate) bool {
	inTime := !now.Add(best.wait).After(s.query.closeAt)
	return inTime || s.service.waiting.head() == nil && s.waitsLong(now, best)
}

// waitsLong reports whether a shard may wait for a target until its query is given up. It may not wait so long for the end of a pause,
// since the target may ask for another one then.
func (s *shard) waitsLong(now time.Time, best candidate) bool {
	latest := s.query.giveUpAt
	if best.target.pause(now) > 0 {
		latest = s.query.closeAt
	}
	return !now.Add(best.wait).After(latest)
}

// dropLate gives up waiting shards that would answer after closeAt, as long as the required coverage remains. A shard
// that the coverage requires stays in the queue, behind all that can still answer in time.
func (g *Gateway) dropLate(now time.Time, q *query) {
	for _, s := range q.shards {
		if s.state != shardWaiting || s.late || now.Before(s.dropAt) {
			continue
		}
		q.overloaded = true
		switch {
		case len(q.shards)-q.givenUp > q.required():
			q.trace.Dropped++
			g.giveUp(s)
		case s.service.hasRestrictedTarget(now):
			// It was let in because it can be sent, and keeps its place.
		default:
			s.service.waiting.postpone(s)
		}
	}
}

// serveWaiting sends the waiting shards of a service while its targets have room. Shards whose queries are restricted to regions do not
// hold up those that may run elsewhere.
func (g *Gateway) serveWaiting(now time.Time, service *service) {
	var passed []string
	for {
		s := service.waiting.next(passed)
		if s == nil {
			return
		}
		in := g.placementInput(now, s)
		t, found := service.pickTarget(in)
		if found == busy {
			if !service.waiting.mixed() {
				return
			}
			passed = append(passed, s.query.regions.key())
			continue
		}
		service.waiting.remove(s)
		if found == placed && g.mayServe(s.query) {
			g.sendTo(now, s, t, in.typical)
			continue
		}
		s.state = shardOpen
		g.giveUp(s)
		g.advance(now, s.query)
	}
}
