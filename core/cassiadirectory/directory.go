package cassiadirectory

import (
	"sort"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
)

const (
	// storeReturnGrace is how long after the store's return a live target may take to register again, by the platform's promise.
	storeReturnGrace = 2 * time.Second
	// removedGrace is how long a target is used, as a last choice, after its entry was removed while the store answered. With
	// a watch that hears of the removal two waits late it stays below the 3 s for which a target serves that leaves without
	// a word.
	removedGrace = 500 * time.Millisecond
	// removedRetention is how long the last registration of a removed target is remembered, so that an older one that
	// arrives late does not bring it back.
	removedRetention = time.Minute
)

// State is what a target says of itself.
type State string

// States of a target.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Registration is one entry that a target wrote.
type Registration struct {
	Target  cassiaid.TargetName
	Service cassiacatalog.ServiceName
	Address string
	Zone    cassiaid.Zone
	Slots   int
	State   State
	// ColdLeft is how much longer the target stays slow after its start.
	ColdLeft time.Duration
	// Born is the start of the target's process in milliseconds of Unix time; 0 when it is not told.
	Born int64
	// Sequence counts the registrations of one process.
	Sequence int64
}

// Target is a target that requests may be sent to.
type Target struct {
	Name    cassiaid.TargetName
	Service cassiacatalog.ServiceName
	Address string
	Zone    cassiaid.Zone
	Slots   int
	Born    int64
	// ColdUntil is when the target stops being slow after its start.
	ColdUntil time.Time
	// Doubtful is true when the registration is gone and the target may be, too.
	Doubtful bool
}

// Message is something that was learned of targets or of the store.
type Message interface{ isMessage() }

// Registered tells that an entry was written.
type Registered struct{ Registration Registration }

// Removed tells that an entry is gone.
type Removed struct{ Target cassiaid.TargetName }

// Withdrawn tells that an entry does not name a target any more.
type Withdrawn struct{ Target cassiaid.TargetName }

// Listed tells all entries that exist. Nothing tells how long ago a target left that it lacks.
type Listed struct{ Registrations []Registration }

// StoreLost tells that the store does not answer this VM.
type StoreLost struct{}

// StoreBack tells that the store answers again.
type StoreBack struct{}

// Tick tells that time has passed.
type Tick struct{}

func (Registered) isMessage() {}
func (Removed) isMessage()    {}
func (Withdrawn) isMessage()  {}
func (Listed) isMessage()     {}
func (StoreLost) isMessage()  {}
func (StoreBack) isMessage()  {}
func (Tick) isMessage()       {}

// Directory is the list of targets.
type Directory struct {
	clock       cassiaclock.Clock
	entries     map[cassiaid.TargetName]*entry
	storeLost   bool
	storeBackAt time.Time
}

// entry is the last registration of a target.
type entry struct {
	registration Registration
	coldUntil    time.Time
	removedAt    time.Time
}

// NewDirectory returns a directory without targets.
func NewDirectory(clock cassiaclock.Clock) *Directory {
	return &Directory{clock: clock, entries: make(map[cassiaid.TargetName]*entry)}
}

// Update takes one message and tells whether the targets may have changed.
func (d *Directory) Update(m Message) (changed bool) {
	now := d.clock.Now()
	switch m := m.(type) {
	case Registered:
		return d.register(now, m.Registration)
	case Removed:
		return d.remove(now, m.Target)
	case Withdrawn:
		_, known := d.entries[m.Target]
		delete(d.entries, m.Target)
		return known
	case Listed:
		return d.list(now, m.Registrations)
	case StoreLost:
		d.storeLost = true
	case StoreBack:
		if d.storeLost {
			d.storeLost, d.storeBackAt = false, now
		}
	case Tick:
		return d.expireRemoved(now)
	}
	return false
}

// Targets returns the targets that may get requests, in the order of their names.
func (d *Directory) Targets() []Target {
	now := d.clock.Now()
	var targets []Target
	for _, e := range d.entries {
		if e.registration.State != StateReady || d.graceExpired(now, e) {
			continue
		}
		r := e.registration
		targets = append(targets, Target{Name: r.Target, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots,
			Born: r.Born, ColdUntil: e.coldUntil, Doubtful: !e.removedAt.IsZero()})
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	return targets
}

// WakeAt returns when a doubtful target becomes a lost one, or the zero time.
func (d *Directory) WakeAt() time.Time {
	now := d.clock.Now()
	var at time.Time
	for _, e := range d.entries {
		if e.removedAt.IsZero() || e.registration.State != StateReady || d.storeLost || d.graceExpired(now, e) {
			continue
		}
		if end := d.graceEnd(e); at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return at
}

func (d *Directory) register(now time.Time, r Registration) bool {
	e, ok := d.entries[r.Target]
	if ok && writtenBefore(r, e.registration) {
		return false
	}
	if !ok {
		e = &entry{}
		d.entries[r.Target] = e
	}
	e.registration, e.removedAt = r, time.Time{}
	e.coldUntil = now.Add(r.ColdLeft)
	return true
}

// writtenBefore tells whether a was written before b.
func writtenBefore(a, b Registration) bool {
	if a.Born != b.Born && a.Born != 0 && b.Born != 0 {
		return a.Born < b.Born
	}
	return a.Sequence < b.Sequence
}

func (d *Directory) remove(now time.Time, name cassiaid.TargetName) bool {
	e, ok := d.entries[name]
	if !ok || !e.removedAt.IsZero() {
		return false
	}
	e.removedAt = now
	return true
}

func (d *Directory) list(now time.Time, registrations []Registration) bool {
	listed := make(map[cassiaid.TargetName]bool, len(registrations))
	for _, r := range registrations {
		listed[r.Target] = true
		d.register(now, r)
	}
	for name := range d.entries {
		if !listed[name] {
			// It had its time, unless the store has just returned.
			d.remove(now.Add(-removedGrace), name)
		}
	}
	return true
}

// graceExpired is true when a removed target had its time to register again.
func (d *Directory) graceExpired(now time.Time, e *entry) bool {
	return !e.removedAt.IsZero() && !d.storeLost && !now.Before(d.graceEnd(e))
}

// graceEnd is when a removed target counts as gone; a store that was away first has to be back for long enough.
func (d *Directory) graceEnd(e *entry) time.Time {
	end := e.removedAt.Add(removedGrace)
	if back := d.storeBackAt.Add(storeReturnGrace); !d.storeBackAt.IsZero() && back.After(end) {
		return back
	}
	return end
}

func (d *Directory) expireRemoved(now time.Time) bool {
	changed := false
	for name, e := range d.entries {
		if e.removedAt.IsZero() {
			continue
		}
		changed = changed || d.graceExpired(now, e)
		if now.Sub(e.removedAt) > removedRetention && !d.storeLost {
			delete(d.entries, name)
		}
	}
	return changed
}
