package cassiafreshness

import (
	"sync/atomic"
	"time"

	"cassiasaddle/core/cassiaclock"
)

const (
	// usableShare is the share of the limit up to which knowledge is used. The rest is for requests on their way, and for the rate error
	// of clocks.
	usableShare = 0.85
	// outdatedShare is the share of the limit from which on a VM looks for newer knowledge by every way that it has. Knowledge that comes
	// by way of another VM is up to 2.3 s old while all works.
	outdatedShare = 0.55
)

// Guard tells how old the knowledge of a VM about the store may be. Knowledge is as old as the question whose answer confirmed it:
// what changed after the question was sent need not be in the answer. A nil Guard allows knowledge of any age. It is safe for concurrent
// use.
type Guard struct {
	clock cassiaclock.BootClock
	limit time.Duration
	// asOf is the BootTime as of which everything in the store is known; 0 if nothing is.
	asOf atomic.Int64
}

// NewGuard returns a guard for knowledge that must not be used once it is older than a limit, or nil if the limit is 0.
func NewGuard(clock cassiaclock.BootClock, limit time.Duration) *Guard {
	if limit <= 0 {
		return nil
	}
	return &Guard{clock: clock, limit: limit}
}

// Confirm records that everything is known that was in the store at a time. An earlier time than a confirmed one has no effect.
func (g *Guard) Confirm(asOf cassiaclock.BootTime) {
	if g == nil {
		return
	}
	for {
		known := g.asOf.Load()
		if int64(asOf) <= known || g.asOf.CompareAndSwap(known, int64(asOf)) {
			return
		}
	}
}

// Age returns how old the knowledge is, and false if nothing is known.
func (g *Guard) Age() (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	asOf := g.asOf.Load()
	if asOf == 0 {
		return 0, false
	}
	return g.clock.Now().Sub(cassiaclock.BootTime(asOf)), true
}

// Usable reports whether the knowledge is recent enough to act on it.
func (g *Guard) Usable() bool { return g == nil || g.within(usableShare) }

// Outdated reports whether newer knowledge is needed soon.
func (g *Guard) Outdated() bool { return g != nil && !g.within(outdatedShare) }

func (g *Guard) within(share float64) bool {
	age, known := g.Age()
	return known && age <= time.Duration(share*float64(g.limit))
}
