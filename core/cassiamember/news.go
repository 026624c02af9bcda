package cassiamember

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// news is what is known of one kind of notice and how it is spread: as updates of type U in one field of a packet.
type news[K cmp.Ordered, U proto.Message] struct {
	board[K]
	full   Counter
	key    func(K) broadcastKey
	update func(n notice[K], remaining time.Duration) U
	field  func(*cassiaschema.GossipPacket) *[]U
}

func newQuarantineNews() news[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate] {
	return news[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate]{
		full: CountQuarantineFull,
		key: func(f cassiaid.Fingerprint) broadcastKey {
			return broadcastKey{kind: quarantineBroadcast, fingerprint: uint64(f)}
		},
		update: func(n notice[cassiaid.Fingerprint], remaining time.Duration) *cassiaschema.QuarantineUpdate {
			return &cassiaschema.QuarantineUpdate{
				Fingerprint: uint64(n.key), RemainingMillis: remaining.Milliseconds(), OriginUnixMillis: n.origin,
			}
		},
		field: func(p *cassiaschema.GossipPacket) *[]*cassiaschema.QuarantineUpdate { return &p.Quarantines },
	}
}

func newTargetNews() news[cassiaid.TargetName, *cassiaschema.TargetUpdate] {
	return news[cassiaid.TargetName, *cassiaschema.TargetUpdate]{
		full: CountTargetFull,
		key: func(name cassiaid.TargetName) broadcastKey {
			return broadcastKey{kind: targetBroadcast, name: string(name)}
		},
		update: func(n notice[cassiaid.TargetName], remaining time.Duration) *cassiaschema.TargetUpdate {
			return &cassiaschema.TargetUpdate{
				Target: string(n.key), Leaving: n.active, RemainingMillis: remaining.Milliseconds(), OriginUnixMillis: n.origin,
			}
		},
		field: func(p *cassiaschema.GossipPacket) *[]*cassiaschema.TargetUpdate { return &p.Targets },
	}
}

// add stores first-hand news if it extends or changes an entry enough to be spread again.
func (w *news[K, U]) add(m *Membership, key K, active bool, remaining time.Duration) {
	now := m.clock.Now()
	known := w.get(key)
	if active != known.active || active && known.expiry.Sub(now) < remaining/2 {
		w.store(m, notice[K]{key: key, active: active, expiry: now.Add(remaining), origin: now.UnixMilli()})
	}
}

// store keeps and spreads a notice, and returns false when it is known.
func (w *news[K, U]) store(m *Membership, n notice[K]) bool {
	stored, full := w.set(n)
	if full {
		m.count(w.full)
	}
	if stored {
		m.pushDue = urgent
		m.broadcasts.add(broadcast{
			key:    w.key(n.key),
			size:   embeddedSize(w.updateOf(m, n)),
			attach: func(p *cassiaschema.GossipPacket) { w.attach(p, w.updateOf(m, n)) },
		})
	}
	return stored
}

// updateOf returns a notice with the time that it has left.
func (w *news[K, U]) updateOf(m *Membership, n notice[K]) U {
	return w.update(n, n.expiry.Sub(m.clock.Now()))
}

func (w *news[K, U]) attach(p *cassiaschema.GossipPacket, u U) {
	updates := w.field(p)
	*updates = append(*updates, u)
}

// remind adds one notice in turn to a packet that has room and holds none, and returns the bytes added.
func (w *news[K, U]) remind(m *Membership, p *cassiaschema.GossipPacket, room int) int {
	n, ok := w.take()
	if !ok || len(*w.field(p)) > 0 {
		return 0
	}
	u := w.updateOf(m, n)
	size := embeddedSize(u)
	if size > room {
		return 0
	}
	w.attach(p, u)
	return size
}

// learnNews takes in the quarantines and targets of a packet.
func (m *Membership) learnNews(p *cassiaschema.GossipPacket) {
	now := m.clock.Now()
	for _, u := range p.GetQuarantines() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.Fingerprint]{
			key: cassiaid.Fingerprint(u.GetFingerprint()), active: true, expiry: now.Add(remaining), origin: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.quarantines.store(m, n) {
			m.emit(QuarantineLearned{Fingerprint: n.key, Remaining: remaining})
		}
	}
	for _, u := range p.GetTargets() {
		remaining := time.Duration(u.GetRemainingMillis()) * time.Millisecond
		n := notice[cassiaid.TargetName]{
			key: cassiaid.TargetName(u.GetTarget()), active: u.GetLeaving(), expiry: now.Add(remaining), origin: u.GetOriginUnixMillis(),
		}
		if remaining > 0 && m.targets.store(m, n) {
			m.emit(TargetLearned{Target: n.key, Leaving: n.active, Remaining: remaining})
		}
	}
}

// remind adds one quarantine and one target in turn to a packet that has room, for VMs that missed the news.
func (m *Membership) remind(p *cassiaschema.GossipPacket, room int) int {
	added := m.quarantines.remind(m, p, room)
	return added + m.targets.remind(m, p, room-added)
}
