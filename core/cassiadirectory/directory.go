package cassiadirectory

import (
	"sort"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
)

const (
	// storeReturnGrace is the time within which every live target registers again after the store has returned. The platform
	// guarantees it.
	storeReturnGrace = 2 * time.Second
	// removedGrace is how long a target is still used, as a last choice, after its entry was removed while the store
	// answered. A target that leaves without announcing it goes on serving for 3 s. The grace period ends before that
	// even if the VM learns of the removal late, by twice the wait of a store watch (cassiafollow.WatchWait).
	removedGrace = 500 * time.Millisecond
	// removedRetention is how long the last registration of a removed target is remembered, so that an older one that
	// arrives late does not restore the target.
	removedRetention = time.Minute
)

// State is the state of a target as the target itself reports it.
type State string

// States of a target.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Registration is an entry that a target wrote to the store.
type Registration struct {
	Target  cassiaid.TargetName
	Service cassiacatalog.ServiceName
	Address string
	Zone    cassiaid.Zone
	Slots   int
	State   State
	// ColdLeft is the remaining time for which the target is slow after its start.
	ColdLeft time.Duration
	// StartUnixMillis is the start of the target's process in milliseconds of Unix time, or 0 if the target does not
	// report it.
	StartUnixMillis int64
	// Sequence counts the registrations that one process has written.
	Sequence int64
}

// Target is a target that may receive requests.
type Target struct {
	Name            cassiaid.TargetName
	Service         cassiacatalog.ServiceName
	Address         string
	Zone            cassiaid.Zone
	Slots           int
	StartUnixMillis int64
	// ColdUntil is the time until which the target is slow after its start.
	ColdUntil time.Time
	// Unregistered is true when the registration was removed, so that the target may be gone.
	Unregistered bool
	// RestoredAt is when the evacuation of the target's zone ended, or the zero time if this VM has not seen one.
	RestoredAt time.Time
}

// Message is an input of Directory.Update: a change of entries, of the store's availability, or of the time.
type Message interface{ isMessage() }

// Registered reports that an entry was written.
type Registered struct{ Registration Registration }

// Removed reports that an entry was removed.
type Removed struct{ Target cassiaid.TargetName }

// Withdrawn reports that an entry exists but is no valid registration, so that its target must not be used.
type Withdrawn struct{ Target cassiaid.TargetName }

// Listed contains all entries that exist, and all zones that are evacuated. It does not show when the entries of missing targets were
// removed.
type Listed struct {
	Registrations  []Registration
	EvacuatedZones []cassiaid.Zone
}

// StoreLost reports that the store does not answer this VM.
type StoreLost struct{}

// StoreRegained reports that the store answers again.
type StoreRegained struct{}

// Tick reports that time has passed, so that grace periods may have ended.
type Tick struct{}

func (Registered) isMessage()    {}
func (Removed) isMessage()       {}
func (Withdrawn) isMessage()     {}
func (Listed) isMessage()        {}
func (StoreLost) isMessage()     {}
func (StoreRegained) isMessage() {}
func (Tick) isMessage()          {}

// Directory is the list of targets. Make it with NewDirectory.
type Directory struct {
	clock       cassiaclock.Clock
	entries     map[cassiaid.TargetName]*entry
	storeLost   bool
	storeBackAt time.Time
	evacuation  evacuation
}

// entry is the last registration of a target and, if it was removed, the time of the removal.
type entry struct {
	registration Registration
	coldUntil    time.Time
	removedAt    time.Time
	// gone is true if the target counted as gone before the store was lost, so that its return is no reason to wait for the target.
	gone bool
}

// NewDirectory returns a directory without targets.
func NewDirectory(clock cassiaclock.Clock) *Directory {
	return &Directory{clock: clock, entries: make(map[cassiaid.TargetName]*entry)}
}

// Update processes one message and reports whether the result of Targets may have changed. It returns false for
// StoreLost and StoreRegained, although they may change which removed targets Targets returns.
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
		d.evacuation.replace(now, m.EvacuatedZones)
		return d.list(now, m.Registrations)
	case ZoneEvacuated:
		return d.evacuation.evacuate(m.Zone)
	case ZoneRestored:
		return d.evacuation.restore(now, m.Zone)
	case StoreLost:
		for _, e := range d.entries {
			e.gone = d.graceExpired(now, e)
		}
		d.storeLost = true
	case StoreRegained:
		if d.storeLost {
			d.storeLost, d.storeBackAt = false, now
		}
	case Tick:
		return d.expireRemoved(now)
	}
	return false
}

// Targets returns the targets that may receive requests, sorted by name. Those of evacuated zones are not among them.
func (d *Directory) Targets() []Target {
	now := d.clock.Now()
	var targets []Target
	for _, e := range d.entries {
		r := e.registration
		if r.State != StateReady || d.graceExpired(now, e) || d.evacuation.evacuated[r.Zone] {
			continue
		}
		targets = append(targets, Target{Name: r.Target, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots,
			StartUnixMillis: r.StartUnixMillis, ColdUntil: e.coldUntil, Unregistered: !e.removedAt.IsZero(),
			RestoredAt: d.evacuation.restoredAt[r.Zone]})
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	return targets
}

// WakeAt returns the earliest time at which a removed target counts as gone, or the zero time if there is none.
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
	if !ok || r != e.registration || !e.removedAt.IsZero() {
		// A list repeats entries that are known; ColdLeft counts from when an entry was written.
		e.coldUntil = now.Add(r.ColdLeft)
	}
	e.registration, e.removedAt, e.gone = r, time.Time{}, false
	return true
}

// writtenBefore reports whether a was written before b.
func writtenBefore(a, b Registration) bool {
	if a.StartUnixMillis != b.StartUnixMillis && a.StartUnixMillis != 0 && b.StartUnixMillis != 0 {
		return a.StartUnixMillis < b.StartUnixMillis
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
			// The entry may have been removed long ago, so the target gets no removedGrace from now. It still gets
			// storeReturnGrace if the store has just returned.
			d.remove(now.Add(-removedGrace), name)
		}
	}
	return true
}

// graceExpired reports whether the entry of a target was removed and the target's time to register again is over.
func (d *Directory) graceExpired(now time.Time, e *entry) bool {
	return e.gone || !e.removedAt.IsZero() && !d.storeLost && !now.Before(d.graceEnd(e))
}

// graceEnd returns when a removed target counts as gone. After an outage of the store, it is at least storeReturnGrace
// after the store's return.
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
