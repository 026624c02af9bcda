package cassiaclaim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type skewedClock struct {
	now  *time.Time
	skew time.Duration
}

func (s skewedClock) Now() time.Time { return s.now.Add(s.skew) }

type stored struct {
	value    *cassiaschema.ClaimBucket
	revision Revision
}

// store is an in-memory key-value service with compare-and-swap.
type store struct {
	buckets  map[BucketID]stored
	revision Revision
}

func (s *store) swap(w WriteBucket) (Revision, bool) {
	if s.buckets[w.Bucket].revision != w.IfRevision {
		return 0, false
	}
	s.revision++
	s.buckets[w.Bucket] = stored{value: proto.CloneOf(w.Value), revision: s.revision}
	return s.revision, true
}

func (s *store) read(id BucketID) BucketRead {
	b := s.buckets[id]
	return BucketRead{Bucket: id, Value: proto.CloneOf(b.value), Revision: b.revision}
}

// claimer is a Ledger with its calls in progress and the granted claims that are still unused.
type claimer struct {
	ledger     *Ledger
	calls      []Effect
	acquires   map[ClaimID]Acquire
	held       []heldClaim
	timesEnded map[ClaimID]int
	lastReply  map[ClaimID]Effect
}

// heldClaim is a granted claim whose request was not run and that was not released.
type heldClaim struct {
	acquire Acquire
	nonce   Nonce
}

// simulation is a store, the claimers that use it and the number of runs of each request.
type simulation struct {
	now           time.Time
	store         store
	claimers      []*claimer
	delayedWrites []WriteBucket
	forwards      []forward
	runs          map[string]int
	nextID        ClaimID
	seed          uint64
}

func newSimulation(skews ...time.Duration) *simulation {
	sim := &simulation{now: start, store: store{buckets: map[BucketID]stored{}}, runs: map[string]int{}}
	for _, skew := range skews {
		sim.claimers = append(sim.claimers, sim.newClaimer(skew))
	}
	return sim
}

func (sim *simulation) newClaimer(skew time.Duration) *claimer {
	sim.seed++
	return &claimer{
		ledger:   NewLedger(skewedClock{now: &sim.now, skew: skew}, rand.New(rand.NewPCG(sim.seed, 7))),
		acquires: map[ClaimID]Acquire{}, timesEnded: map[ClaimID]int{}, lastReply: map[ClaimID]Effect{},
	}
}

func (c *claimer) update(m Message) []Effect {
	effects := c.ledger.Update(m)
	for _, e := range effects {
		switch e := e.(type) {
		case ReadBucket, WriteBucket:
			c.calls = append(c.calls, e)
		case Granted:
			c.recordReply(e.ID, e)
			if !c.acquires[e.ID].Forwarded {
				c.held = append(c.held, heldClaim{acquire: c.acquires[e.ID], nonce: e.Nonce})
			}
		case Remembered:
			c.recordReply(e.ID, e)
		case Denied:
			c.recordReply(e.ID, e)
		}
	}
	return effects
}

func (c *claimer) recordReply(id ClaimID, e Effect) {
	c.timesEnded[id]++
	c.lastReply[id] = e
}

// acquire sends an Acquire whose deadline is the duration within from now, by the claimer's clock, and returns its
// identifier.
func (sim *simulation) acquire(c *claimer, k Key, body uint64, within time.Duration) ClaimID {
	return sim.send(c, Acquire{Key: k, BodyHash: body, Deadline: c.ledger.clock.Now().Add(within)})
}

func (sim *simulation) send(c *claimer, m Acquire) ClaimID {
	sim.nextID++
	m.ID = sim.nextID
	c.acquires[m.ID] = m
	c.update(m)
	return m.ID
}

// forward is an Acquire that one claimer sent to another.
type forward struct {
	from, to *claimer
	id       ClaimID
	acquire  Acquire
}

func (sim *simulation) forward(from, to *claimer, k Key, within time.Duration) {
	sim.seed++
	m := Acquire{Key: k, BodyHash: 5, Deadline: to.ledger.clock.Now().Add(within), Nonce: Nonce(1<<32 + sim.seed), Forwarded: true}
	sim.forwards = append(sim.forwards, forward{from: from, to: to, id: sim.send(to, m), acquire: m})
}

// endForward delivers the reply to a forwarded Acquire. Without a reply, the sender asks its own Ledger.
func (sim *simulation) endForward(f forward, lost bool) {
	own := f.acquire
	own.Forwarded, own.MaybeWritten = false, true
	own.Deadline = f.from.ledger.clock.Now().Add(100 * time.Millisecond)
	switch e := f.to.lastReply[f.id].(type) {
	case Granted:
		if !lost {
			f.from.held = append(f.from.held, heldClaim{acquire: own, nonce: own.Nonce})
			return
		}
	case Denied:
		if !lost {
			if e.Uncertain {
				f.from.update(Release{Key: own.Key, BodyHash: own.BodyHash, Nonce: own.Nonce})
			}
			return
		}
	}
	sim.send(f.from, own)
}

// fault is what goes wrong with a call.
type fault int

const (
	noFault fault = iota
	// replyLost lets the call take effect and loses its reply.
	replyLost
	// requestLost loses the call.
	requestLost
	// delayed loses the reply and lets a write take effect later.
	delayed
	// sentTwice lets a write take effect and reports the conflict of its repetition.
	sentTwice
)

// completeCall ends the oldest call of a claimer with a fault or none.
func (sim *simulation) completeCall(c *claimer, f fault) {
	call := c.calls[0]
	c.calls = c.calls[1:]
	if r, ok := call.(ReadBucket); ok {
		if f == noFault {
			c.update(sim.store.read(r.Bucket))
		} else {
			c.update(ReadFailed(r))
		}
		return
	}
	write := call.(WriteBucket)
	switch f {
	case requestLost:
		c.update(WriteUnknown{Bucket: write.Bucket})
		return
	case delayed:
		sim.delayedWrites = append(sim.delayedWrites, write)
		c.update(WriteUnknown{Bucket: write.Bucket})
		return
	}
	revision, done := sim.store.swap(write)
	switch {
	case f == replyLost:
		c.update(WriteUnknown{Bucket: write.Bucket})
	case !done || f == sentTwice:
		c.update(WriteConflict{Bucket: write.Bucket})
	default:
		c.update(WriteDone{Bucket: write.Bucket, Revision: revision})
	}
}

// runUntilQuiet lets time pass and ends all calls without faults, for long enough that every claimer finishes.
func (sim *simulation) runUntilQuiet() {
	for range 400 {
		sim.now = sim.now.Add(time.Millisecond)
		for _, c := range sim.claimers {
			c.update(Tick{})
			for len(c.calls) > 0 {
				sim.completeCall(c, noFault)
			}
		}
	}
}

// runRequest runs the request of a granted claim and records its outcome.
func (sim *simulation) runRequest(c *claimer, h heldClaim) {
	sim.runs[h.acquire.Key.Scoped]++
	c.update(RecordOutcome{Key: h.acquire.Key, BodyHash: h.acquire.BodyHash, Nonce: h.nonce,
		Outcome: cassiaschema.ClaimOutcome_finished, Answer: []byte("answer of " + h.acquire.Key.Scoped)})
}

func key(n int, at time.Time) Key { return Key{Scoped: fmt.Sprintf("team/front/%d", n), Time: at} }

func describeReply(e Effect) [2]string {
	d, ok := e.(Denied)
	if !ok {
		return [2]string{fmt.Sprintf("%T", e)}
	}
	return [2]string{string(d.Refusal.Kind), string(d.Refusal.Ran)}
}

func refusalPair(kind cassiaplan.RefusalKind, ran cassiaplan.Ran) [2]string {
	return [2]string{string(kind), string(ran)}
}
