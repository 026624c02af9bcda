package cassiaclaim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

// Bounds on the size of a bucket, which the key-value service limits to 1 MiB.
const (
	// maxBucketBytes is the size above which no claim is added.
	maxBucketBytes = 768 << 10
	// maxAnswerBytes is the size above which an answer is not kept.
	maxAnswerBytes = 1 << 10
	// answersBucketBytes is the size above which no answer is kept.
	answersBucketBytes = 256 << 10
	// claimOverhead bounds the bytes of a claim beside its key and answer.
	claimOverhead = 64
)

// group is the next value of a bucket while it is put together.
type group struct {
	ledger  *Ledger
	bucket  *bucket
	value   *cassiaschema.ClaimBucket
	index   map[string]int
	added   map[string]bool
	size    int
	entries []*entry
	settled []*settlement
	changed bool
	now     time.Time
}

// newGroup starts from a copy of the bucket's known value, or from an empty one for a later window.
func newGroup(l *Ledger, b *bucket, now time.Time) *group {
	g := &group{ledger: l, bucket: b, now: now, index: map[string]int{}, added: map[string]bool{}}
	window := b.value.GetWindow()
	for _, e := range b.queue {
		window = max(window, e.Key.window())
	}
	for _, s := range b.settles {
		if s.uncertain {
			window = max(window, s.Key.window())
		}
	}
	g.value = &cassiaschema.ClaimBucket{Window: window}
	if b.value.GetWindow() == window {
		g.value.Claims = append(g.value.Claims, b.value.GetClaims()...)
	}
	for i, c := range g.value.Claims {
		g.index[c.GetKey()] = i
	}
	g.size = proto.Size(g.value)
	return g
}

// take puts everything that waits for the bucket into the group or answers it.
func (g *group) take() {
	settles := g.bucket.settles
	g.bucket.settles = nil
	for _, s := range settles {
		g.settle(s)
	}
	queue := g.bucket.queue
	g.bucket.queue = nil
	for _, e := range queue {
		g.claim(e)
	}
}

// claim adds the claim of an entry unless the bucket decides otherwise.
func (g *group) claim(e *entry) {
	at, exists := g.index[e.Key.Scoped]
	switch {
	case e.Key.window() != g.value.Window:
		g.ledger.deny(e, CountDeniedExpired, refusedExpired(g.ledger.retention))
	case g.added[e.Key.Scoped]:
		// Nothing is won before the write is done, not even by the same send asked for twice.
		g.bucket.queue = append(g.bucket.queue, e)
	case !exists && g.size+len(e.Key.Scoped)+claimOverhead > maxBucketBytes:
		g.ledger.deny(e, CountDeniedFull, refusedFull())
	case !exists:
		g.index[e.Key.Scoped] = len(g.value.Claims)
		g.value.Claims = append(g.value.Claims, nil)
		g.put(len(g.value.Claims)-1, e)
	default:
		g.meet(e, at)
	}
}

// put sets the claim at a place to the entry's.
func (g *group) put(at int, e *entry) {
	g.value.Claims[at] = &cassiaschema.Claim{Key: e.Key.Scoped, Nonce: uint64(e.nonce),
		ClaimedUnixMillis: g.now.UnixMilli(), BodyHash: e.BodyHash}
	g.size += len(e.Key.Scoped) + claimOverhead
	g.added[e.Key.Scoped] = true
	g.entries = append(g.entries, e)
	g.changed = true
}

// meet decides an entry whose key has a claim.
func (g *group) meet(e *entry, at int) {
	c := g.value.Claims[at]
	switch {
	case c.GetNonce() == uint64(e.nonce) && c.GetOutcome() != cassiaschema.ClaimOutcome_unknown:
		g.ledger.deny(e, CountDeniedReleased, refusedLate())
	case c.GetNonce() == uint64(e.nonce):
		g.ledger.grant(g.bucket, e, CountReadBack, g.now)
	case c.GetBodyHash() != e.BodyHash:
		g.ledger.deny(e, CountDeniedBody, refusedBody())
	case c.GetOutcome() == cassiaschema.ClaimOutcome_notStarted:
		g.ledger.count(CountTakenOver)
		g.put(at, e)
	case c.GetOutcome() == cassiaschema.ClaimOutcome_finished:
		g.ledger.remember(e, c.GetAnswer())
	default:
		g.ledger.deny(e, CountDeniedClaimed, refusedClaimed())
	}
}

// settle writes an outcome into its claim. A claim that may still be written is put there first: after that, no write
// that was prepared before takes effect, and the claim is not granted to a send that was given up.
func (g *group) settle(s *settlement) {
	at, exists := g.index[s.Key.Scoped]
	switch {
	case s.Key.window() != g.value.Window:
		g.ledger.count(CountSettleDropped)
	case exists && g.value.Claims[at].GetNonce() == uint64(s.Nonce):
		g.replace(at, s)
	case !s.uncertain || exists && g.value.Claims[at].GetOutcome() != cassiaschema.ClaimOutcome_notStarted:
		g.ledger.count(CountSettleDropped)
	default:
		if !exists {
			at = len(g.value.Claims)
			g.index[s.Key.Scoped] = at
			g.value.Claims = append(g.value.Claims, nil)
			g.size += len(s.Key.Scoped) + claimOverhead
		}
		g.value.Claims[at] = &cassiaschema.Claim{Key: s.Key.Scoped, Nonce: uint64(s.Nonce), BodyHash: s.BodyHash,
			ClaimedUnixMillis: g.now.UnixMilli()}
		g.replace(at, s)
	}
}

// replace sets the outcome of the claim at a place.
func (g *group) replace(at int, s *settlement) {
	c := proto.CloneOf(g.value.Claims[at])
	c.Outcome = s.Outcome
	c.Answer = nil
	if len(s.Answer) <= maxAnswerBytes && g.size+len(s.Answer) <= answersBucketBytes {
		c.Answer = s.Answer
		g.size += len(s.Answer)
	} else {
		g.ledger.count(CountAnswerNotKept)
	}
	g.value.Claims[at] = c
	g.settled = append(g.settled, s)
	g.changed = true
}
