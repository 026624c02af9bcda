package cassiamember

import "time"

// record is what this VM knows about another VM.
type record struct {
	Member
	// suspicionExpiry is when the member is declared dead unless it refutes the suspicion or, if it is leaving, unless
	// a packet of it arrives; zero when no such timer runs.
	suspicionExpiry time.Time
	// deadSince is when the member was declared dead.
	deadSince time.Time
}

// track adds a record to the list, the digest and the timers that belong to its state.
func (m *Membership) track(r *record) {
	m.setSuspicionExpiry(r, time.Time{})
	r.deadSince = time.Time{}
	if r.State == Dead {
		r.deadSince = m.clock.Now()
		m.dead.insert(r.Name, m.config.Random)
		return
	}
	if r.State == Suspect {
		m.setSuspicionExpiry(r, m.clock.Now().Add(m.tuning.suspicionTimeout(m.size())))
	}
	m.listOf(r.Member).insert(r.Name, m.config.Random)
	m.digest.toggle(r.Member)
}

// untrack removes a record from its list and the digest.
func (m *Membership) untrack(r *record) {
	if r.State == Dead {
		m.dead.remove(r.Name)
		return
	}
	m.listOf(r.Member).remove(r.Name)
	m.digest.toggle(r.Member)
}

// setSuspicionExpiry sets when a member is declared dead; the zero time cancels the suspicion timer.
func (m *Membership) setSuspicionExpiry(r *record, expiry time.Time) {
	if !r.suspicionExpiry.IsZero() {
		m.suspicionTimers--
	}
	if r.suspicionExpiry = expiry; !expiry.IsZero() {
		m.suspicionTimers++
	}
}

// listOf returns the list for a live member.
func (m *Membership) listOf(member Member) *shuffledList {
	if member.Zone == m.self.Zone {
		return &m.local
	}
	return &m.remote
}

// replace updates a record and moves it between the lists.
func (m *Membership) replace(r *record, after Member) {
	before := r.Member
	m.untrack(r)
	r.Member = after
	m.track(r)
	if changed(before, after) {
		m.emit(MembersChanged{})
	}
}

// changed reports whether two descriptions of a member differ in more than the incarnation.
func changed(before, after Member) bool {
	before.Incarnation = after.Incarnation
	return before != after
}
