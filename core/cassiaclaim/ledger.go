package cassiaclaim

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// bucketIdleTime is how long the state of an unused bucket is kept.
const bucketIdleTime = 10 * time.Second

// maxPendingOutcomes limits the outcomes that wait for one bucket while the key-value service is down.
const maxPendingOutcomes = 4096

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// RandomSource returns random numbers; *rand.Rand of math/rand/v2 is one.
type RandomSource interface {
	Uint64() uint64
	Float64() float64
}

// Ledger wins claims for one VM and records their outcomes; it is not safe for concurrent use.
type Ledger struct {
	clock     Clock
	random    RandomSource
	retention time.Duration
	buckets   map[BucketID]*bucket
	outage    outage
	wakeAt    time.Time
	effects   []Effect
}

// NewLedger returns a Ledger with a retention of MaxRetention.
func NewLedger(clock Clock, random RandomSource) *Ledger {
	return &Ledger{clock: clock, random: random, retention: MaxRetention, buckets: map[BucketID]*bucket{}}
}

// SetRetention sets how old a key may be; see Retention.
func (l *Ledger) SetRetention(setting time.Duration) { l.retention = Retention(setting) }

// Update applies one message and returns the effects that the caller has to perform, in order.
func (l *Ledger) Update(m Message) []Effect {
	now := l.clock.Now()
	switch m := m.(type) {
	case Acquire:
		l.acquire(m, now)
	case Abandon:
		l.abandon(m.ID)
	case RecordOutcome:
		l.queueOutcome(m, now)
	case Release:
		l.releaseForwarded(m, now)
	case BucketRead:
		l.bucketRead(m, now)
	case ReadFailed:
		l.readFailed(m.Bucket, now)
	case WriteDone:
		l.writeDone(m, now)
	case WriteConflict:
		l.writeConflict(m.Bucket, now)
	case WriteUnknown:
		l.writeUnknown(m.Bucket, now)
	case Tick:
		l.wakeAt = time.Time{}
	}
	l.expireClaims(now)
	for _, b := range l.sortedBuckets() {
		l.startCall(b, now)
	}
	l.scheduleWake(now)
	effects := l.effects
	l.effects = nil
	return effects
}

// sortedBuckets returns the buckets in a fixed order, so that a run with the same seed is reproducible.
func (l *Ledger) sortedBuckets() []*bucket {
	all := make([]*bucket, 0, len(l.buckets))
	for _, b := range l.buckets {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *bucket) int {
		if a.id.Slot != b.id.Slot {
			return int(a.id.Slot) - int(b.id.Slot)
		}
		return int(a.id.Hash) - int(b.id.Hash)
	})
	return all
}

func (l *Ledger) bucket(id BucketID, now time.Time) *bucket {
	b := l.buckets[id]
	if b == nil {
		b = &bucket{id: id}
		l.buckets[id] = b
	}
	b.usedAt = now
	return b
}

func (l *Ledger) emit(e Effect) { l.effects = append(l.effects, e) }

func (l *Ledger) count(c Counter) { l.emit(Count{Counter: c}) }

// acquire queues a claim, unless it can be refused at once.
func (l *Ledger) acquire(m Acquire, now time.Time) {
	p := &pendingClaim{Acquire: m, nonce: m.Nonce, maybeWritten: m.MaybeWritten}
	if p.nonce == 0 {
		p.nonce = l.newNonce()
	}
	if c, r := l.refuseAtOnce(m, now); r != nil {
		l.deny(p, c, *r)
		l.abandonQueued(l.bucket(m.Key.Bucket(), now), p)
		return
	}
	l.enqueue(p, now)
}

// refuseAtOnce returns why a claim can be refused without a call to the key-value service, or a nil refusal.
func (l *Ledger) refuseAtOnce(m Acquire, now time.Time) (Counter, *cassiaplan.Refusal) {
	var c Counter
	var r cassiaplan.Refusal
	switch age := now.Sub(m.Key.Time); {
	case age > l.retention:
		c, r = CountDeniedExpired, refusedExpired(l.retention)
	case age < -maxKeyAhead:
		c, r = CountDeniedAhead, refusedAhead()
	case !now.Before(m.Deadline):
		c, r = CountDeniedLate, refusedLate()
	case l.outage.active() && (now.Before(l.outage.retryAt) || l.callInProgress()):
		c, r = CountDeniedStore, refusedStore(l.outage.untilRetry(now))
	default:
		return "", nil
	}
	return c, &r
}

func (l *Ledger) enqueue(p *pendingClaim, now time.Time) {
	b := l.bucket(p.Key.Bucket(), now)
	o := b.pendingOutcomeOf(p.Key)
	if o != nil && o.Outcome == cassiaschema.ClaimOutcome_finished && o.BodyHash == p.BodyHash {
		l.replyRemembered(p, o.Answer)
		return
	}
	b.queue = append(b.queue, p)
	b.schedule(b.nextWriteAt(now))
}

func (l *Ledger) newNonce() Nonce {
	for {
		if n := Nonce(l.random.Uint64()); n != 0 {
			return n
		}
	}
}

// callInProgress reports whether a call to the key-value service is in progress.
func (l *Ledger) callInProgress() bool {
	for _, b := range l.buckets {
		if b.operation != noOperation {
			return true
		}
	}
	return false
}

// probeInProgress reports whether a call is in progress during an outage. All other calls wait for it, since it shows
// whether the key-value service is back.
func (l *Ledger) probeInProgress() bool { return l.outage.active() && l.callInProgress() }

// grant grants a claim whose write took effect, or releases it if the Acquire has ended in the meantime.
func (l *Ledger) grant(b *bucket, p *pendingClaim, c Counter, now time.Time) {
	switch {
	case p.abandoned:
		l.release(b, p, false)
	case !now.Before(p.Deadline):
		l.deny(p, CountDeniedLate, refusedLate())
		l.release(b, p, false)
	default:
		l.count(c)
		l.emit(Granted{ID: p.ID, Nonce: p.nonce})
	}
}

func (l *Ledger) deny(p *pendingClaim, c Counter, r cassiaplan.Refusal) {
	if p.abandoned {
		return
	}
	l.count(c)
	l.emit(Denied{ID: p.ID, Refusal: r, Uncertain: p.Forwarded && p.maybeWritten})
}

func (l *Ledger) replyRemembered(p *pendingClaim, answer []byte) {
	if p.abandoned {
		return
	}
	l.count(CountRemembered)
	if len(answer) == 0 {
		l.emit(Denied{ID: p.ID, Refusal: refusedFinished()})
		return
	}
	l.emit(Remembered{ID: p.ID, Answer: answer})
}

// HasPending reports whether anything still waits for the key-value service.
func (l *Ledger) HasPending() bool {
	for _, b := range l.buckets {
		if !b.idle() {
			return true
		}
	}
	return false
}
