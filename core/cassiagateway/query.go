package cassiagateway

import (
	"fmt"
	"math"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarecord"
)

// query is one request.
type query struct {
	id       QueryID
	route    *cassiacatalog.Route
	arrived  time.Time
	deadline time.Time
	// closeAt is when an answer with enough shards is closed without the rest.
	closeAt time.Time
	// giveUpAt is when the request ends in any case.
	giveUpAt time.Time
	shards   []*shard
	// zone is where targets are preferred, so that their parts can be merged there.
	zone     cassiaid.Zone
	answered int
	givenUp  int
	// mayHaveRun is true once a target may have begun to work on the request.
	mayHaveRun bool
	overloaded bool
	finished   bool
	trace      Trace
}

// shard is one service that a request asks.
type shard struct {
	query   *query
	service *service
	state   shardState
	tried   []*target
	// spentAttempts counts the attempts that are under way or spentAttempts a target.
	spentAttempts int
	running       []*attempt
	// unusedPayment is true while a repeat that this VM has unusedPayment for has reached no target.
	unusedPayment bool
	// declined counts the attempts that were not sent since their targets were unfit.
	declined int
	reply    *Reply
	// failure is the last answer of a target that ran the request and failed.
	failure *Reply
	hedgeAt time.Time
	// dropAt is when a shard that still waits can't answer before the close any more.
	dropAt time.Time
	// late is true once a waiting shard was put behind those that can answer in time.
	late bool
}

type shardState int

const (
	shardOpen shardState = iota
	shardWaiting
	shardAnswered
	shardGivenUp
)

// attempt is one send of a request to a target.
type attempt struct {
	id     cassiaid.AttemptID
	shard  *shard
	target *target
	sent   time.Time
	// typical is how long such an attempt usually takes.
	typical time.Duration
	// cancelAt is when an attempt that nobody needs any more is cancelled; zero while it is needed.
	cancelAt  time.Time
	cancelled bool
	// aggregator is the VM of the target's zone that sends the attempt; empty when this VM does.
	aggregator cassiaid.VMName
	link       *link
	// pruned is true when the part went through the sieve of via, so that parts after it rest on it being in the answer.
	pruned bool
	// extra is true for an attempt beyond the first that via pays for, paid for one that this VM has paid for.
	extra, paid bool
	// begun is true once bytes of the request may have left.
	begun bool
}

// required returns how many shards an answer needs.
func (q *query) required() int { return requiredShards(q.route, len(q.shards)) }

// requiredShards returns how many of a number of shards an answer of a route needs.
func requiredShards(r *cassiacatalog.Route, shards int) int {
	if !r.FansOut() {
		return 1
	}
	// The small term keeps a product that should be whole from being rounded up.
	return max(1, int(math.Ceil(r.MinCoverage*float64(shards)-1e-9)))
}

// complete tells whether the answer can be given now.
func (q *query) complete(now time.Time) bool {
	if q.answered+q.givenUp == len(q.shards) {
		return q.answered >= q.required()
	}
	return !now.Before(q.closeAt) && q.answered >= q.required()
}

// coverageImpossible tells whether too many shards are dead.
func (q *query) coverageImpossible() bool { return len(q.shards)-q.givenUp < q.required() }

// wakeAt returns when something is next to be done for the query.
func (q *query) wakeAt(now time.Time) time.Time {
	at := q.giveUpAt
	if now.Before(q.closeAt) && q.closeAt.Before(at) {
		at = q.closeAt
	}
	for _, s := range q.shards {
		if s.state == shardOpen && !s.hedgeAt.IsZero() && s.hedgeAt.Before(at) {
			at = s.hedgeAt
		}
		if s.state == shardWaiting && !s.late && now.Before(s.dropAt) && s.dropAt.Before(at) {
			at = s.dropAt
		}
	}
	return at
}

// merged returns the answer made of the shards that are in.
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

func (q *query) recordFailure(a *attempt, o Outcome) {
	q.trace.LastFailure = fmt.Sprintf("%s@%s", o, a.target.Name)
}
