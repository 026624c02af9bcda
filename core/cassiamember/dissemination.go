package cassiamember

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// noticeDisseminator stores the notices of one kind and sends them as updates of type U in one field of a packet.
type noticeDisseminator[K cmp.Ordered, U proto.Message] struct {
	noticeTable[K]
	fullCounter  Counter
	broadcastKey func(K) broadcastKey
	toUpdate     func(n notice[K], remaining time.Duration) U
	updates      func(*cassiaschema.GossipPacket) *[]U
}

func newQuarantineDisseminator() noticeDisseminator[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate] {
	return noticeDisseminator[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate]{
		fullCounter: CountQuarantineFull,
		broadcastKey: func(f cassiaid.Fingerprint) broadcastKey {
			return broadcastKey{kind: quarantineBroadcast, fingerprint: uint64(f)}
		},
		toUpdate: func(n notice[cassiaid.Fingerprint], remaining time.Duration) *cassiaschema.QuarantineUpdate {
			return &cassiaschema.QuarantineUpdate{
				Fingerprint: uint64(n.key), RemainingMillis: remaining.Milliseconds(), OriginUnixMillis: n.originMillis,
			}
		},
		updates: func(p *cassiaschema.GossipPacket) *[]*cassiaschema.QuarantineUpdate { return &p.Quarantines },
	}
}

func newTargetDisseminator() noticeDisseminator[cassiaid.TargetName, *cassiaschema.TargetUpdate] {
	return noticeDisseminator[cassiaid.TargetName, *cassiaschema.TargetUpdate]{
		fullCounter: CountTargetFull,
		broadcastKey: func(name cassiaid.TargetName) broadcastKey {
			return broadcastKey{kind: targetBroadcast, name: string(name)}
		},
		toUpdate: func(n notice[cassiaid.TargetName], remaining time.Duration) *cassiaschema.TargetUpdate {
			return &cassiaschema.TargetUpdate{
				Target: string(n.key), Leaving: n.active, RemainingMillis: remaining.Milliseconds(), OriginUnixMillis: n.originMillis,
			}
		},
		updates: func(p *cassiaschema.GossipPacket) *[]*cassiaschema.TargetUpdate { return &p.Targets },
	}
}

// addLocal stores a notice of this VM if it changes the active state, or if it is active and the known notice has less
// than half of the new remaining time left. Any other notice is dropped, because it is not worth another broadcast.
func (d *noticeDisseminator[K, U]) addLocal(m *Membership, key K, active bool, remaining time.Duration) {
	now := m.clock.Now()
	known := d.get(key)
	if active != known.active || active && known.expiry.Sub(now) < remaining/2 {
		d.store(m, notice[K]{key: key, active: active, expiry: now.Add(remaining), originMillis: now.UnixMilli()})
	}
}

// store stores and disseminates a notice. It returns false when the table is full, or holds a notice with the same key
// that is at least as new.
func (d *noticeDisseminator[K, U]) store(m *Membership, n notice[K]) bool {
	stored, full := d.set(n)
	if full {
		m.count(d.fullCounter)
	}
	if stored {
		m.pendingPush = urgentPush
		m.broadcasts.add(broadcast{
			key:    d.broadcastKey(n.key),
			size:   embeddedSize(d.updateOf(m, n)),
			attach: func(p *cassiaschema.GossipPacket) { d.attach(p, d.updateOf(m, n)) },
		})
	}
	return stored
}

// updateOf returns the update for a notice, with the time left until its expiry.
func (d *noticeDisseminator[K, U]) updateOf(m *Membership, n notice[K]) U {
	return d.toUpdate(n, n.expiry.Sub(m.clock.Now()))
}

func (d *noticeDisseminator[K, U]) attach(p *cassiaschema.GossipPacket, u U) {
	updates := d.updates(p)
	*updates = append(*updates, u)
}

// attachNext adds the next notice to a packet that holds none of this kind, if it fits, and returns the bytes added.
func (d *noticeDisseminator[K, U]) attachNext(m *Membership, p *cassiaschema.GossipPacket, freeBytes int) int {
	n, ok := d.advance()
	if !ok || len(*d.updates(p)) > 0 {
		return 0
	}
	u := d.updateOf(m, n)
	size := embeddedSize(u)
	if size > freeBytes {
		return 0
	}
	d.attach(p, u)
	return size
}

// attachAll adds all notices to a packet that fit, and returns the bytes added.
func (d *noticeDisseminator[K, U]) attachAll(m *Membership, p *cassiaschema.GossipPacket, freeBytes int) int {
	added := 0
	for _, n := range d.notices {
		u := d.updateOf(m, n)
		if size := embeddedSize(u); added+size <= freeBytes {
			d.attach(p, u)
			added += size
		}
	}
	return added
}

// learnNotices stores the quarantines and targets of a packet.
func (m *Membership) learnNotices(p *cassiaschema.GossipPacket) {
	now := m.clock.Now()
	for _, u := range p.GetQuarantines() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.Fingerprint]{
			key: cassiaid.Fingerprint(u.GetFingerprint()), active: true, expiry: now.Add(remaining), originMillis: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.quarantines.store(m, n) {
			m.emit(QuarantineLearned{Fingerprint: n.key, Remaining: remaining})
		}
	}
	for _, u := range p.GetTargets() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.TargetName]{
			key: cassiaid.TargetName(u.GetTarget()), active: u.GetLeaving(), expiry: now.Add(remaining), originMillis: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.targets.store(m, n) {
			m.emit(TargetLearned{Target: n.key, Leaving: n.active, Remaining: remaining})
		}
	}
}

// attachNotices adds one quarantine and one target to a packet where they fit, for VMs that missed the broadcasts, and
// returns the bytes added.
func (m *Membership) attachNotices(p *cassiaschema.GossipPacket, freeBytes int) int {
	added := m.quarantines.attachNext(m, p, freeBytes)
	return added + m.targets.attachNext(m, p, freeBytes-added)
}
