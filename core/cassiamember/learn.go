package cassiamember

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// learn applies an update about a member, and disseminates it when it is newer than what is known.
func (m *Membership) learn(u *cassiaschema.MemberUpdate) {
	name := cassiaid.VMName(u.GetName())
	if name == m.self.Name {
		m.learnSelf(u)
		return
	}
	known, ok := m.members[name]
	if !ok {
		m.addMember(u)
		return
	}
	if !supersedes(u, known.Member) {
		return
	}
	sameRun := Incarnation(u.GetIncarnation()).run() == known.Incarnation.run()
	after := known.Member
	switch {
	case isFull(u):
		after = memberOf(u)
	case sameRun:
		after.State, after.Incarnation = u.GetState(), Incarnation(u.GetIncarnation())
	case u.GetState() == Dead && known.Live():
		// A later run of the member has ended, so the known run has ended too.
		after.State = Dead
	default:
		m.count(CountUnknownBrief)
		return
	}
	m.replace(known, after)
	if isFull(u) && sameRun {
		u = after.brief()
	}
	m.disseminate(u)
}

// addMember adds the member that an update describes.
func (m *Membership) addMember(u *cassiaschema.MemberUpdate) {
	if !isFull(u) || u.GetState() == Dead {
		m.count(CountUnknownBrief)
		return
	}
	r := &record{Member: memberOf(u)}
	m.members[r.Name] = r
	m.track(r)
	m.disseminate(u)
	m.emit(MembersChanged{})
}

// disseminate queues an update for the other members and requests a push. Updates of a joinReply about other VMs are
// not queued, since the other members already have them.
func (m *Membership) disseminate(u *cassiaschema.MemberUpdate) {
	if m.inJoinReply && u.GetName() != string(m.self.Name) {
		return
	}
	m.broadcasts.add(newMemberBroadcast(u))
	m.pendingPush = max(m.pendingPush, routinePush)
	if u.GetState() == Leaving {
		m.pendingPush = urgentPush
	}
}
