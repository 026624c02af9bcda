package cassiamember

import (
	"cmp"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// newer tells whether first-hand news extends or changes an entry enough to be spread again.
func newer[K cmp.Ordered](known notice[K], active bool, remaining time.Duration, now time.Time) bool {
	if active != known.active {
		return true
	}
	return active && known.expiry.Sub(now) < remaining/2
}

func (m *Membership) addQuarantine(message QuarantineAdded) {
	now := m.clock.Now()
	if newer(m.quarantines.get(message.Fingerprint), true, message.Remaining, now) {
		m.storeQuarantine(notice[cassiaid.Fingerprint]{
			key: message.Fingerprint, active: true, expiry: now.Add(message.Remaining), origin: now.UnixMilli(),
		})
	}
}

// storeQuarantine keeps and spreads a quarantine, and returns false when it is known.
func (m *Membership) storeQuarantine(n notice[cassiaid.Fingerprint]) bool {
	stored, full := m.quarantines.set(n)
	if full {
		m.count(CountQuarantineFull)
	}
	if stored {
		m.pushDue = urgent
		m.rumours.add(rumour{
			key:    rumourKey{kind: quarantineRumour, fingerprint: uint64(n.key)},
			size:   embeddedSize(m.quarantineUpdate(n)),
			attach: func(p *cassiaschema.GossipPacket) { p.Quarantines = append(p.Quarantines, m.quarantineUpdate(n)) },
		})
	}
	return stored
}

func (m *Membership) quarantineUpdate(n notice[cassiaid.Fingerprint]) *cassiaschema.QuarantineUpdate {
	return &cassiaschema.QuarantineUpdate{
		Fingerprint:      uint64(n.key),
		RemainingMillis:  n.expiry.Sub(m.clock.Now()).Milliseconds(),
		OriginUnixMillis: n.origin,
	}
}

func (m *Membership) addTarget(message TargetLeaving) {
	now := m.clock.Now()
	if newer(m.targets.get(message.Target), message.Leaving, message.Remaining, now) {
		m.storeTarget(notice[cassiaid.TargetName]{
			key: message.Target, active: message.Leaving, expiry: now.Add(message.Remaining), origin: now.UnixMilli(),
		})
	}
}

// storeTarget keeps and spreads that a target leaves or is back, and returns false when it is known.
func (m *Membership) storeTarget(n notice[cassiaid.TargetName]) bool {
	stored, full := m.targets.set(n)
	if full {
		m.count(CountTargetFull)
	}
	if stored {
		m.pushDue = urgent
		m.rumours.add(rumour{
			key:    rumourKey{kind: targetRumour, name: string(n.key)},
			size:   embeddedSize(m.targetUpdate(n)),
			attach: func(p *cassiaschema.GossipPacket) { p.Targets = append(p.Targets, m.targetUpdate(n)) },
		})
	}
	return stored
}

func (m *Membership) targetUpdate(n notice[cassiaid.TargetName]) *cassiaschema.TargetUpdate {
	return &cassiaschema.TargetUpdate{
		Target:           string(n.key),
		Leaving:          n.active,
		RemainingMillis:  n.expiry.Sub(m.clock.Now()).Milliseconds(),
		OriginUnixMillis: n.origin,
	}
}

// learnNews takes in the quarantines and targets of a packet.
func (m *Membership) learnNews(p *cassiaschema.GossipPacket) {
	now := m.clock.Now()
	for _, u := range p.GetQuarantines() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.Fingerprint]{
			key: cassiaid.Fingerprint(u.GetFingerprint()), active: true, expiry: now.Add(remaining), origin: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.storeQuarantine(n) {
			m.emit(QuarantineLearned{Fingerprint: n.key, Remaining: remaining})
		}
	}
	for _, u := range p.GetTargets() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.TargetName]{
			key: cassiaid.TargetName(u.GetTarget()), active: u.GetLeaving(), expiry: now.Add(remaining), origin: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.storeTarget(n) {
			m.emit(TargetLearned{Target: n.key, Leaving: n.active, Remaining: remaining})
		}
	}
}

// remind adds one quarantine and one target in turn to a packet that has room, for VMs that missed the news.
func (m *Membership) remind(p *cassiaschema.GossipPacket, room int) int {
	added := 0
	if n, ok := m.quarantines.take(); ok && len(p.GetQuarantines()) == 0 {
		if u := m.quarantineUpdate(n); embeddedSize(u) <= room {
			p.Quarantines = append(p.Quarantines, u)
			added = embeddedSize(u)
		}
	}
	if n, ok := m.targets.take(); ok && len(p.GetTargets()) == 0 {
		if u := m.targetUpdate(n); embeddedSize(u)+added <= room {
			p.Targets = append(p.Targets, u)
			added += embeddedSize(u)
		}
	}
	return added
}
