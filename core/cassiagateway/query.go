package cassiagateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiafair"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarecord"
)

// query is the state of one request.
type query struct {
	id        QueryID
	route     *cassiacatalog.Route
	arrivedAt time.Time
	deadline  time.Time
	// team is the team that the caller acts for by a key; nil if the caller sent none.
	team *cassiacatalog.Team
	key  cassiacatalog.KeyHash
	// keyCheckedBy is the list of teams in which the key was found last.
	keyCheckedBy *cassiacatalog.Teams
	// priority and turn rank the query among those that wait for the same targets.
	priority int
	turn     cassiafair.Turn
	// unauthorized is true once a shard was not sent since the caller's key may not be accepted any more.
	unauthorized bool
	// closeAt is when an answer with the required coverage is returned without waiting for the other shards.
	closeAt time.Time
	// giveUpAt is when the query ends even without the required coverage.
	giveUpAt time.Time
	shards   []*shard
	// zones is the order in which zones of targets are preferred, so that aggregators of few zones merge the results.
	zones    zoneOrder
	answered int
	givenUp  int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	overloaded bool
	// limited is true once a shard was given up because of the rate that its targets accept.
	limited bool
	// quarantined is true once an attempt was not sent because the request crashes targets.
	quarantined bool
	finished    bool
	// regions are those in which the request may run, allowed the zones in them.
	regions regions
	allowed zoneFilter
	// forward is set while another VM serves the query for this one; forwardTried holds the VMs that it was passed on to.
	forward      *forwarding
	forwardTried []cassiaid.VMName
	// forOther is true if this VM serves the query for another one; statements then holds what targets have stated in answers to it.
	forOther   bool
	statements []TargetStatement
	// least is the result of the last computation of leastRecord, for so many answered shards.
	least   []byte
	leastOf int
	trace   Trace
}

// shard is one service that a query asks.
type shard struct {
	query   *query
	index   cassiaid.ShardIndex
	service *service
	state   shardState
	tried   []*target
	// spentAttempts counts the attempts that are running or reached a target; the route's MaxAttempts limits it.
	spentAttempts int
	// cutOff counts those of them that went to a zone which could not be reached.
	cutOff  int
	running []*attempt
	// unusedPayment is true while this VM has charged the retry budget for an attempt that reached no target; the next
	// attempt uses that payment.
	unusedPayment bool
	// declined counts the attempts that an aggregator did not send because it considered the target unfit.
	declined int
	reply    *Reply
	// failure is the last answer of a target that ran the request and failed.
	failure *Reply
	hedgeAt time.Time
	// dropAt is when a shard that is still waiting can no longer answer before closeAt.
	dropAt time.Time
	// late is true once a waiting shard was moved behind those that can still answer in time.
	late bool
}

type shardState int

const (
	shardOpen shardState = iota
	shardWaiting
	shardAnswered
	shardGivenUp
)

// attempt is one transmission of a query to one target.
type attempt struct {
	id     cassiaid.AttemptID
	shard  *shard
	target *target
	sentAt time.Time
	// typical is the typical latency of the route's attempts when this one was sent.
	typical time.Duration
	// cancelAt is when an attempt whose result is no longer needed is cancelled; zero while it is needed.
	cancelAt  time.Time
	cancelled bool
	// aggregator is the VM in the target's zone that sends the attempt; empty if this VM sends it.
	aggregator cassiaid.VMName
	link       *link
	// pruned is true if the aggregator drops records from this result that cannot be among the top records of all
	// results it has passed on. Results after it then lack records that this one outranks, so they are only correct
	// together with it.
	pruned bool
	// aggregatorPays is true for an attempt beyond the first that is charged to the aggregator's retry budget, paid for
	// one that is charged to this VM's.
	aggregatorPays, paid bool
	// begun is true once bytes of the request may have been sent.
	begun bool
	// limited is true if the attempt was charged to this VM's part of the rate that its target accepts.
	limited bool
	// throttled is true if it was charged to this VM's part of the rate that the VMs impose on themselves for the target.
	throttled bool
}

// required returns how many shards the answer needs.
func (q *query) required() int { return requiredShards(q.route, len(q.shards)) }

// requiredShards returns how many of the given number of shards an answer of a route needs.
func requiredShards(r *cassiacatalog.Route, shards int) int {
	if !r.FansOut() {
		return 1
	}
	// Subtracting 1e-9 keeps a product that is a whole number up to rounding errors from being rounded up.
	return max(1, int(math.Ceil(r.MinCoverage*float64(shards)-1e-9)))
}

// complete reports whether the answer can be returned now.
func (q *query) complete(now time.Time) bool {
	if q.answered+q.givenUp == len(q.shards) {
		return q.answered >= q.required()
	}
	return !now.Before(q.closeAt) && q.answered >= q.required()
}

// coverageImpossible reports whether so many shards were given up that the required coverage is out of reach.
func (q *query) coverageImpossible() bool { return len(q.shards)-q.givenUp < q.required() }

// wakeAt returns when the query next needs a tick.
func (q *query) wakeAt(now time.Time) time.Time {
	at := q.giveUpAt
	if q.forward != nil {
		if by := q.forward.acceptBy(); !by.IsZero() && by.Before(at) {
			return by
		}
		return at
	}
	if now.Before(q.closeAt) && q.closeAt.Before(at) {
		at = q.closeAt
	}
	hedges := !q.holdsHedges()
	for _, s := range q.shards {
		if hedges && s.state == shardOpen && !s.hedgeAt.IsZero() && s.hedgeAt.Before(at) {
			at = s.hedgeAt
		}
		if s.state == shardWaiting && !s.late && now.Before(s.dropAt) && s.dropAt.Before(at) {
			at = s.dropAt
		}
	}
	return at
}

// merged merges the answers of the shards that have answered.
func (q *query) merged() *Merged {
	m := &Merged{Missing: len(q.shards) - q.answered}
	var parts [][]byte
	for _, s := range q.shards {
		if s.state == shardAnswered {
			m.Stamps = append(m.Stamps, s.reply.Stamp)
			parts = append(parts, s.reply.Body)
		}
	}
	m.Body = cassiarecord.Greatest(parts, q.route.TopK)
	return m
}

// leastRecord returns the least of the greatest records of the replies so far, or nil if there are fewer than the route's TopK. The answer
// will hold none below it, since it uses all of these replies. Replies that may still be replaced by others do not count.
func (q *query) leastRecord() []byte {
	if q.leastOf == q.answered {
		return q.least
	}
	q.leastOf, q.least = q.answered, nil
	var parts [][]byte
	for _, s := range q.shards {
		if s.state == shardAnswered && !s.mayBeReplaced() {
			parts = append(parts, s.reply.Body)
		}
	}
	if size := q.route.TopK * cassiarecord.RecordSize; size > 0 {
		if greatest := cassiarecord.Greatest(parts, q.route.TopK); len(greatest) == size {
			q.least = greatest[size-cassiarecord.RecordSize:]
		}
	}
	return q.least
}

// mayBeReplaced reports whether the shard's reply is replaced if a running attempt is answered.
func (s *shard) mayBeReplaced() bool {
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return a.pruned })
}

// recordFailure records the outcome and the target of a failed attempt in the trace.
func (q *query) recordFailure(a *attempt, o Outcome) {
	q.trace.LastFailure = fmt.Sprintf("%s@%s", o, a.target.Name)
}
