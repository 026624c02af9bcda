package cassiaintake

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaclock"
)

const (
	// Patience is how long a body may be behind MinRate while others wait for memory. It is longer than the retransmission of a lost
	// packet takes, and than a VM with a fraction of a core takes to read what has arrived.
	Patience = time.Second
	// MaxWait bounds how long a body waits for memory. Requests that hold memory end after a few seconds, and so do bodies that are
	// behind, so that a longer wait would only hold more connections.
	MaxWait = 5 * time.Second
	// SmallBytes is the size up to which a body may use all of the budget; longer ones leave smallShare of it to those.
	SmallBytes = 16 << 10
	smallShare = 1.0 / 8
	// keepUp is how far a body may be behind MinRate and still count as one that will need the rest of its memory soon.
	keepUp = 250 * time.Millisecond
	// startInterval is how often a long body starts although those before it may still need the memory, while less than half is used.
	// With a shorter one, many start at the same time and then wait for one another.
	startInterval = 100 * time.Millisecond
)

// BodyID identifies a body; later ones are larger.
type BodyID uint64

// AbortReason tells why a body is aborted.
type AbortReason string

// Values of AbortReason.
const (
	// AbortedSlow is the reason for the body that was furthest behind.
	AbortedSlow AbortReason = "bodySlow"
	// AbortedNoMemory is the reason for a body that waited for memory for too long, or that others have to get memory.
	AbortedNoMemory AbortReason = "noMemory"
)

// Abort tells that a body is to be aborted.
type Abort struct {
	Body   BodyID
	Reason AbortReason
}

// Decision is what follows from a change.
type Decision struct {
	// Granted lists the bodies whose reservation is made.
	Granted []BodyID
	// Aborted lists the bodies to abort. What they hold stays reserved until their End.
	Aborted []Abort
	// WakeAt is when Tick has to be called; zero if it need not be.
	WakeAt time.Time
}

// body is a body that is being received, or that a request holds.
type body struct {
	id   BodyID
	held int64
	// limit is the most that the body may need.
	limit int64
	// started is true for a long body that has got memory beyond SmallBytes.
	started bool
	// asked is the reservation that the body waits for, since waitsSince; 0 if it does not wait.
	asked      int64
	waitsSince time.Time
	progress   progress
	// complete is true for a body that has arrived, aborted for one that is to be aborted.
	complete, aborted bool
}

// Bodies decides which bodies get memory of a budget, and which one is aborted when it is short: the one that has been behind MinRate for
// the longest time. Without one, bodies wait, the earlier ones first. A long body starts once those that have started leave room for all of
// it, so that bodies seldom wait for one another with a part each. It is not safe for concurrent use.
type Bodies struct {
	clock cassiaclock.Clock
	// budget is the memory for all bodies, used the part that is reserved, both in bytes.
	budget, used int64
	lastID       BodyID
	bodies       map[BodyID]*body
	// waiting holds the bodies that wait for a reservation, in the order of their ids.
	waiting []*body
	// startedAt is when a long body was started last.
	startedAt time.Time
}

// NewBodies returns a decider with a budget in bytes.
func NewBodies(clock cassiaclock.Clock, budget int64) *Bodies {
	return &Bodies{clock: clock, budget: budget, bodies: make(map[BodyID]*body)}
}

// Begin adds a body that is about to be received; it may become as long as limit. The budget is raised if a body of that length could
// never be received.
func (b *Bodies) Begin(limit int64) BodyID {
	b.budget = max(b.budget, int64(float64(limit+SmallBytes)/(1-smallShare))+1)
	b.lastID++
	b.bodies[b.lastID] = &body{id: b.lastID, limit: limit, progress: progress(b.clock.Now())}
	return b.lastID
}

// Used returns the reserved memory in bytes.
func (b *Bodies) Used() int64 { return b.used }

// Aborted reports whether a body is to be aborted.
func (b *Bodies) Aborted(id BodyID) bool {
	x := b.bodies[id]
	return x != nil && x.aborted
}

// Reserve asks for memory for more of a body. The body goes on when it is among those granted, in this decision or a later one.
func (b *Bodies) Reserve(id BodyID, bytes int64) Decision {
	x := b.bodies[id]
	if x == nil || x.aborted {
		return Decision{WakeAt: b.wakeAt(b.clock.Now())}
	}
	x.asked, x.waitsSince = bytes, b.clock.Now()
	at, _ := slices.BinarySearchFunc(b.waiting, id, func(w *body, id BodyID) int { return cmp.Compare(w.id, id) })
	b.waiting = slices.Insert(b.waiting, at, x)
	return b.settle()
}

// Received records that a number of bytes of a body has arrived.
func (b *Bodies) Received(id BodyID, bytes int) {
	if x := b.bodies[id]; x != nil {
		x.progress = x.progress.received(b.clock.Now(), bytes)
	}
}

// Complete records that a body has arrived and holds a number of bytes from now on. It is not aborted any more.
func (b *Bodies) Complete(id BodyID, bytes int64) Decision {
	if x := b.bodies[id]; x != nil {
		b.used += bytes - x.held
		x.held, x.complete = bytes, true
	}
	return b.settle()
}

// End removes a body, which holds no memory any more.
func (b *Bodies) End(id BodyID) Decision {
	if x := b.bodies[id]; x != nil {
		b.used -= x.held
		delete(b.bodies, id)
		b.stopWaiting(x)
	}
	return b.settle()
}

// Tick has to be called at the WakeAt of the last decision.
func (b *Bodies) Tick() Decision { return b.settle() }

func (b *Bodies) stopWaiting(x *body) {
	x.asked = 0
	b.waiting = slices.DeleteFunc(b.waiting, func(w *body) bool { return w == x })
}

// settle grants what the budget has room for, and aborts bodies while it is short.
func (b *Bodies) settle() Decision {
	var d Decision
	now := b.clock.Now()
	b.grant(now, &d)
	for _, x := range slices.Clone(b.waiting) {
		if now.Sub(x.waitsSince) >= MaxWait {
			b.abort(x, AbortedNoMemory, &d)
		}
	}
	for b.short() {
		victim, reason := b.victim(now)
		if victim == nil {
			break
		}
		b.abort(victim, reason, &d)
	}
	d.WakeAt = b.wakeAt(now)
	return d
}

func (b *Bodies) abort(x *body, reason AbortReason, d *Decision) {
	x.aborted = true
	b.stopWaiting(x)
	d.Aborted = append(d.Aborted, Abort{Body: x.id, Reason: reason})
}

// grant makes the reservations that the budget has room for. A short body does not wait behind a long one.
func (b *Bodies) grant(now time.Time, d *Decision) {
	longWaits := false
	for _, x := range slices.Clone(b.waiting) {
		long := x.isLong()
		if long && (longWaits || !b.mayStart(now, x)) || b.used+x.asked > b.budgetFor(x) {
			longWaits = longWaits || long
			continue
		}
		if long && !x.started {
			x.started, b.startedAt = true, now
		}
		b.used += x.asked
		x.held += x.asked
		// Nothing was read while the body waited, so that the sender could not keep up.
		x.progress = progress(time.Time(x.progress).Add(now.Sub(x.waitsSince)))
		b.stopWaiting(x)
		d.Granted = append(d.Granted, x.id)
	}
}

// mayStart reports whether a long body has started or may do so.
func (b *Bodies) mayStart(now time.Time, x *body) bool {
	if x.started {
		return true
	}
	if !now.Before(b.startedAt.Add(startInterval)) && b.hasAmpleRoom(x) {
		return true
	}
	needed := b.used + x.limit - x.held
	for _, y := range b.bodies {
		if y.started && !y.complete && !y.aborted && (y.asked > 0 || y.progress.lag(now) < keepUp) {
			needed += y.limit - y.held
		}
	}
	return needed <= b.budgetFor(x)
}

// hasAmpleRoom reports whether less than half of the memory is used.
func (b *Bodies) hasAmpleRoom(x *body) bool { return b.used+x.asked <= b.budgetFor(x)/2 }

// isLong reports whether a body is over SmallBytes with what it asks for.
func (x *body) isLong() bool { return x.held+x.asked > SmallBytes }

// budgetFor returns the part of the budget that a body may use.
func (b *Bodies) budgetFor(x *body) int64 {
	if x.isLong() {
		return b.budget - int64(smallShare*float64(b.budget))
	}
	return b.budget
}

// ending returns the memory of aborted bodies, which is free soon.
func (b *Bodies) ending() int64 {
	var bytes int64
	for _, x := range b.bodies {
		if x.aborted {
			bytes += x.held
		}
	}
	return bytes
}

// short reports whether the first waiting body lacks memory, also after the end of the aborted ones. A long one that has not started needs
// memory for the rest of it.
func (b *Bodies) short() bool {
	if len(b.waiting) == 0 {
		return false
	}
	first := b.waiting[0]
	needed := first.asked
	if first.isLong() && !first.started {
		needed = max(needed, first.limit-first.held)
	}
	return b.used-b.ending()+needed > b.budgetFor(first)
}

// victim returns the body to abort while memory is short, or nil if waiting is better.
func (b *Bodies) victim(now time.Time) (*body, AbortReason) {
	var slowest *body
	stuck := true
	for _, x := range b.bodies {
		if x.held == 0 || x.asked > 0 {
			continue
		}
		// What is being received, is held by a request, or ends, gives memory back or falls behind.
		stuck = false
		if !x.complete && !x.aborted && (slowest == nil || x.progress.before(slowest.progress)) {
			slowest = x
		}
	}
	if slowest != nil && slowest.progress.lag(now) >= Patience {
		return slowest, AbortedSlow
	}
	if stuck && !b.hasAmpleRoom(b.waiting[0]) {
		return b.newestWaiting(), AbortedNoMemory
	}
	return nil, ""
}

// newestWaiting returns the last waiting body that holds memory, a long one if there is any; nil if it is the only one.
func (b *Bodies) newestWaiting() *body {
	var newest *body
	for _, x := range slices.Backward(b.waiting[1:]) {
		if x.held > SmallBytes {
			return x
		}
		if newest == nil && x.held > 0 {
			newest = x
		}
	}
	return newest
}

// wakeAt returns when the next body that others wait for is behind, or has waited for too long itself, or when another long one may start.
func (b *Bodies) wakeAt(now time.Time) time.Time {
	var at time.Time
	earlier := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if len(b.waiting) == 0 {
		return at
	}
	earlier(b.startedAt.Add(startInterval))
	for _, x := range b.bodies {
		switch {
		case x.asked > 0:
			earlier(x.waitsSince.Add(MaxWait))
		case x.held > 0 && !x.complete && !x.aborted:
			earlier(time.Time(x.progress).Add(keepUp))
			earlier(time.Time(x.progress).Add(Patience))
		}
	}
	return at
}
