package cassiagateway

import (
	"slices"
	"time"
)

// maxWaiting bounds the attempts that wait for a service.
const maxWaiting = 256

// waitQueue holds the shards of one service that wait for room on a target: those that can still answer in time before
// those that can not, then by the rank of their routes, then by arrival.
type waitQueue struct {
	shards []*shard
}

// push adds a shard; false means that the queue is full.
func (q *waitQueue) push(s *shard) bool {
	if len(q.shards) >= maxWaiting {
		q.prune()
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

// ranksAfter tells whether a shard is served after another one that waits.
func (s *shard) ranksAfter(other *shard) bool {
	if s.late != other.late {
		return s.late
	}
	return s.query.route.Priority > other.query.route.Priority
}

// head returns the shard that is next, or nil.
func (q *waitQueue) head() *shard {
	for len(q.shards) > 0 {
		if s := q.shards[0]; s.isWaiting() {
			return s
		}
		q.shards = q.shards[1:]
	}
	return nil
}

// pop removes the head.
func (q *waitQueue) pop() { q.shards = q.shards[1:] }

// postpone puts a waiting shard behind all that can still answer in time.
func (q *waitQueue) postpone(s *shard) {
	q.shards = without(q.shards, s)
	s.late = true
	q.push(s)
}

// ahead returns how many shards would be served before one of a rank that can answer in time.
func (q *waitQueue) ahead(priority int) int {
	n := 0
	for _, s := range q.shards {
		if s.isWaiting() && !s.late && s.query.route.Priority <= priority {
			n++
		}
	}
	return n
}

// prune drops shards that do not wait any more.
func (q *waitQueue) prune() {
	q.shards = slices.DeleteFunc(q.shards, func(s *shard) bool { return !s.isWaiting() })
}

// isWaiting is true while a shard isWaiting for a query that goes on.
func (s *shard) isWaiting() bool { return s.state == shardWaiting && !s.query.finished }

// enqueue has a shard wait for room on a target.
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

// dropLate gives up waiting shards that would answer after the close, as far as the answer can do without them. The others
// go on behind all that can still answer in time.
func (g *Gateway) dropLate(now time.Time, q *query) {
	for _, s := range q.shards {
		if s.state != shardWaiting || s.late || now.Before(s.dropAt) {
			continue
		}
		q.overloaded = true
		if len(q.shards)-q.givenUp > q.required() {
			q.trace.Dropped++
			g.giveUp(s)
		} else {
			s.service.waiting.postpone(s)
		}
	}
}

// serveWaiting starts what waits for a service while there is room.
func (g *Gateway) serveWaiting(now time.Time, service *service) {
	for {
		s := service.waiting.head()
		if s == nil {
			return
		}
		in := g.placementInput(now, s)
		t, found := service.pickTarget(in)
		if found == busy {
			return
		}
		service.waiting.pop()
		if found == placed {
			g.sendTo(now, s, t, in.typical)
			continue
		}
		s.state = shardOpen
		g.giveUp(s)
		g.advance(now, s.query)
	}
}
