package cassiaclaim

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// idleTime is how long an unused bucket is remembered.
const idleTime = 10 * time.Second

// maxSettles bounds the outcomes that wait for one bucket while the key-value service is down.
const maxSettles = 4096

// Clock tells the time.
type Clock interface{ Now() time.Time }

// RandomSource gives random numbers; *rand.Rand of math/rand/v2 is one.
type RandomSource interface {
	Uint64() uint64
	Float64() float64
}

// Ledger wins and settles the claims of one VM; it is not safe for concurrent use.
type Ledger struct {
	clock     Clock
	random    RandomSource
	retention time.Duration
	buckets   map[BucketID]*bucket
	outage    outage
	wakeAt    time.Time
	effects   []Effect
}

// NewLedger returns a ledger with the longest retention.
func NewLedger(clock Clock, random RandomSource) *Ledger {
	return &Ledger{clock: clock, random: random, retention: MaxRetention, buckets: map[BucketID]*bucket{}}
}

// SetRetention changes how old a key may be; see Retention.
func (l *Ledger) SetRetention(setting time.Duration) { l.retention = Retention(setting) }

// Update takes one message and returns what has to be done, in order.
func (l *Ledger) Update(m Message) []Effect {
	now := l.clock.Now()
	switch m := m.(type) {
	case Ask:
		l.ask(m, now)
	case Abandon:
		l.abandon(m.ID)
	case Settle:
		l.settle(m, now)
	case Release:
		l.releaseOther(m, now)
	case BucketRead:
		l.read(m, now)
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
	l.expire(now)
	for _, b := range l.ordered() {
		l.step(b, now)
	}
	l.wake(now)
	effects := l.effects
	l.effects = nil
	return effects
}

// ordered returns the buckets in a fixed order, so that a run can be repeated.
func (l *Ledger) ordered() []*bucket {
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

// ask queues a claim, unless it can be refused at once.
func (l *Ledger) ask(m Ask, now time.Time) {
	e := &entry{Ask: m, nonce: m.Nonce, attempted: m.Attempted}
	if e.nonce == 0 {
		e.nonce = l.newNonce()
	}
	if c, r := l.cannot(m, now); r != nil {
		l.deny(e, c, *r)
		l.giveUp(l.bucket(m.Key.Bucket(), now), e)
		return
	}
	l.enqueue(e, now)
}

// cannot returns why a claim can be refused without the key-value service, if it can.
func (l *Ledger) cannot(m Ask, now time.Time) (Counter, *cassiaplan.Refusal) {
	var c Counter
	var r cassiaplan.Refusal
	switch age := now.Sub(m.Key.Time); {
	case age > l.retention:
		c, r = CountDeniedExpired, refusedExpired(l.retention)
	case age < -maxAhead:
		c, r = CountDeniedAhead, refusedAhead()
	case !now.Before(m.Deadline):
		c, r = CountDeniedLate, refusedLate()
	case l.outage.lasting() && (now.Before(l.outage.retryAt) || l.calling()):
		c, r = CountDeniedStore, refusedStore(l.outage.left(now))
	default:
		return "", nil
	}
	return c, &r
}

func (l *Ledger) enqueue(e *entry, now time.Time) {
	b := l.bucket(e.Key.Bucket(), now)
	s := b.settlementOf(e.Key)
	if s != nil && s.Outcome == cassiaschema.ClaimOutcome_finished && s.BodyHash == e.BodyHash {
		l.remember(e, s.Answer)
		return
	}
	b.queue = append(b.queue, e)
	b.schedule(b.nextWrite(now))
}

func (l *Ledger) newNonce() Nonce {
	for {
		if n := Nonce(l.random.Uint64()); n != 0 {
			return n
		}
	}
}

// calling tells whether a call to the key-value service is under way.
func (l *Ledger) calling() bool {
	for _, b := range l.buckets {
		if b.operation != noOperation {
			return true
		}
	}
	return false
}

// probing tells whether one call finds out if the key-value service is back, which the others wait for.
func (l *Ledger) probing() bool { return l.outage.lasting() && l.calling() }

// grant tells an entry that it won, unless it is too late for it.
func (l *Ledger) grant(b *bucket, e *entry, c Counter, now time.Time) {
	switch {
	case e.abandoned:
		l.release(b, e, false)
	case !now.Before(e.Deadline):
		l.deny(e, CountDeniedLate, refusedLate())
		l.release(b, e, false)
	default:
		l.count(c)
		l.emit(Granted{ID: e.ID, Nonce: e.nonce})
	}
}

func (l *Ledger) deny(e *entry, c Counter, r cassiaplan.Refusal) {
	if e.abandoned {
		return
	}
	l.count(c)
	l.emit(Denied{ID: e.ID, Refusal: r, Uncertain: e.Forwarded && e.attempted})
}

func (l *Ledger) remember(e *entry, answer []byte) {
	if e.abandoned {
		return
	}
	l.count(CountRemembered)
	if len(answer) == 0 {
		l.emit(Denied{ID: e.ID, Refusal: refusedFinished()})
		return
	}
	l.emit(Remembered{ID: e.ID, Answer: answer})
}

// Busy tells whether anything still waits for the key-value service.
func (l *Ledger) Busy() bool {
	for _, b := range l.buckets {
		if !b.idle() {
			return true
		}
	}
	return false
}
