package cassiaclaim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

// Limits that keep a bucket's value below the key-value service's limit of 1 MiB.
const (
	// maxBucketBytes is the size of a bucket above which no claim is added.
	maxBucketBytes = 768 << 10
	// maxAnswerBytes is the size of an answer above which it is not kept.
	maxAnswerBytes = 1 << 10
	// maxBucketBytesForAnswers is the size of a bucket above which no answer is kept in it.
	maxBucketBytesForAnswers = 256 << 10
	// claimOverhead is an upper bound on the bytes of a claim beside its key and answer.
	claimOverhead = 64
)

// writeBuilder builds the next value of a bucket from its cached value and everything that waits for the bucket.
// claimIndex holds the position of each key in value.Claims, addedKeys the keys whose claims the write adds.
type writeBuilder struct {
	ledger     *Ledger
	bucket     *bucket
	value      *cassiaschema.ClaimBucket
	claimIndex map[string]int
	addedKeys  map[string]bool
	size       int
	claims     []*pendingClaim
	outcomes   []*pendingOutcome
	changed    bool
	now        time.Time
}

// newWriteBuilder starts from a copy of the bucket's cached value, or from an empty value if something that waits
// belongs to a later window.
func newWriteBuilder(l *Ledger, b *bucket, now time.Time) *writeBuilder {
	w := &writeBuilder{ledger: l, bucket: b, now: now, claimIndex: map[string]int{}, addedKeys: map[string]bool{}}
	window := b.value.GetWindow()
	for _, p := range b.queue {
		window = max(window, p.Key.window())
	}
	for _, o := range b.outcomes {
		if o.uncertain {
			window = max(window, o.Key.window())
		}
	}
	w.value = &cassiaschema.ClaimBucket{Window: window}
	if b.value.GetWindow() == window {
		w.value.Claims = append(w.value.Claims, b.value.GetClaims()...)
	}
	for i, c := range w.value.Claims {
		w.claimIndex[c.GetKey()] = i
	}
	w.size = proto.Size(w.value)
	return w
}

// addWaiting adds the claims and outcomes that wait for the bucket, or decides them without a write.
func (w *writeBuilder) addWaiting() {
	outcomes := w.bucket.outcomes
	w.bucket.outcomes = nil
	for _, o := range outcomes {
		w.addOutcome(o)
	}
	queue := w.bucket.queue
	w.bucket.queue = nil
	for _, p := range queue {
		w.addClaim(p)
	}
}

// addClaim adds a claim, unless the state of the bucket already decides it.
func (w *writeBuilder) addClaim(p *pendingClaim) {
	at, exists := w.claimIndex[p.Key.Scoped]
	switch {
	case p.Key.window() != w.value.Window:
		w.ledger.deny(p, CountDeniedExpired, refusedExpired(w.ledger.retention))
	case w.addedKeys[p.Key.Scoped]:
		// No claim is granted before its write is done, not even when the same send is asked for twice.
		w.bucket.queue = append(w.bucket.queue, p)
	case !exists && w.size+len(p.Key.Scoped)+claimOverhead > maxBucketBytes:
		w.ledger.deny(p, CountDeniedFull, refusedFull())
	case !exists:
		w.claimIndex[p.Key.Scoped] = len(w.value.Claims)
		w.value.Claims = append(w.value.Claims, nil)
		w.setClaim(len(w.value.Claims)-1, p)
	default:
		w.resolveClaimed(p, at)
	}
}

// setClaim stores a new claim at an index.
func (w *writeBuilder) setClaim(at int, p *pendingClaim) {
	w.value.Claims[at] = &cassiaschema.Claim{Key: p.Key.Scoped, Nonce: uint64(p.nonce),
		ClaimedUnixMillis: w.now.UnixMilli(), BodyHash: p.BodyHash}
	w.size += len(p.Key.Scoped) + claimOverhead
	w.addedKeys[p.Key.Scoped] = true
	w.claims = append(w.claims, p)
	w.changed = true
}

// resolveClaimed decides a pending claim whose key already has a claim in the bucket, at the given index.
func (w *writeBuilder) resolveClaimed(p *pendingClaim, at int) {
	c := w.value.Claims[at]
	switch {
	case c.GetNonce() == uint64(p.nonce) && c.GetOutcome() != cassiaschema.ClaimOutcome_unknown:
		w.ledger.deny(p, CountDeniedReleased, refusedLate())
	case c.GetNonce() == uint64(p.nonce):
		w.ledger.grant(w.bucket, p, CountReadBack, w.now)
	case c.GetBodyHash() != p.BodyHash:
		w.ledger.deny(p, CountDeniedBody, refusedBody())
	case c.GetOutcome() == cassiaschema.ClaimOutcome_notStarted:
		w.ledger.count(CountTakenOver)
		w.setClaim(at, p)
	case c.GetOutcome() == cassiaschema.ClaimOutcome_finished:
		w.ledger.replyRemembered(p, c.GetAnswer())
	default:
		w.ledger.deny(p, CountDeniedClaimed, refusedClaimed())
	}
}

// addOutcome writes an outcome into its claim. If a write of the claim may still take effect, the claim is added
// together with its outcome: the bucket's revision changes, so that every write prepared earlier fails, and the claim
// can't be granted to a send that was given up.
func (w *writeBuilder) addOutcome(o *pendingOutcome) {
	at, exists := w.claimIndex[o.Key.Scoped]
	switch {
	case o.Key.window() != w.value.Window:
		w.ledger.count(CountSettleDropped)
	case exists && w.value.Claims[at].GetNonce() == uint64(o.Nonce):
		w.setOutcome(at, o)
	case !o.uncertain || exists && w.value.Claims[at].GetOutcome() != cassiaschema.ClaimOutcome_notStarted:
		w.ledger.count(CountSettleDropped)
	default:
		if !exists {
			at = len(w.value.Claims)
			w.claimIndex[o.Key.Scoped] = at
			w.value.Claims = append(w.value.Claims, nil)
			w.size += len(o.Key.Scoped) + claimOverhead
		}
		w.value.Claims[at] = &cassiaschema.Claim{Key: o.Key.Scoped, Nonce: uint64(o.Nonce), BodyHash: o.BodyHash,
			ClaimedUnixMillis: w.now.UnixMilli()}
		w.setOutcome(at, o)
	}
}

// setOutcome sets the outcome of the claim at an index.
func (w *writeBuilder) setOutcome(at int, o *pendingOutcome) {
	c := proto.CloneOf(w.value.Claims[at])
	c.Outcome = o.Outcome
	c.Answer = nil
	if len(o.Answer) <= maxAnswerBytes && w.size+len(o.Answer) <= maxBucketBytesForAnswers {
		c.Answer = o.Answer
		w.size += len(o.Answer)
	} else {
		w.ledger.count(CountAnswerNotKept)
	}
	w.value.Claims[at] = c
	w.outcomes = append(w.outcomes, o)
	w.changed = true
}
