package cassiamember

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// joiner is the state of the join requests, which are sent until a peer has the same view as this VM.
type joiner struct {
	seeds []Seed
	// joined is set when a peer has the same view, and cleared when no other live member is known.
	joined bool
	// nextRound is when seeds are asked again, and roundInterval the time between two such rounds.
	nextRound     time.Time
	roundInterval time.Duration
	// lastAsked is when known members were last asked.
	lastAsked time.Time
}

// join asks known members for all other members until this VM has joined. While no member is known it asks seeds, at
// intervals that double up to JoinIntervalMax.
func (m *Membership) join(now time.Time) {
	j := &m.joiner
	if m.Alone() {
		j.joined = false
		if !now.Before(j.nextRound) {
			j.roundInterval = min(max(2*j.roundInterval, m.tuning.JoinInterval), m.tuning.JoinIntervalMax)
			j.nextRound = now.Add(j.roundInterval)
			m.joinSeeds(j.seeds)
		}
		return
	}
	if j.roundInterval = 0; j.joined || now.Before(j.lastAsked.Add(m.tuning.JoinInterval)) || m.budget.available() == 0 {
		return
	}
	j.lastAsked = now
	m.joinMembers()
}

// joinMembers sends join requests to JoinFanout random members.
func (m *Membership) joinMembers() {
	for _, name := range m.randomMembers(m.tuning.JoinFanout, "") {
		m.sendJoin(m.members[name].GossipAddress)
	}
}

// joinSeeds sends join requests to JoinFanout random seeds.
func (m *Membership) joinSeeds(seeds []Seed) {
	sent := 0
	for _, i := range m.config.Random.Perm(len(seeds)) {
		if sent == m.tuning.JoinFanout {
			return
		}
		if seeds[i].Name != m.self.Name {
			m.sendJoin(seeds[i].GossipAddress)
			sent++
		}
	}
}

// probeUnknownSeed probes a seed that is not known as a member, so that groups of VMs that started separately find each
// other.
func (m *Membership) probeUnknownSeed() {
	seeds := m.joiner.seeds
	if m.Alone() || len(seeds) == 0 {
		return
	}
	start := m.config.Random.IntN(len(seeds))
	for i := range seeds {
		s := seeds[(start+i)%len(seeds)]
		if _, ok := m.members[s.Name]; ok || s.Name == m.self.Name {
			continue
		}
		m.send(s.GossipAddress, &cassiaschema.GossipPacket{
			Kind:     cassiaschema.GossipKind_ping,
			Sequence: m.nextSequence(),
			Updates:  []*cassiaschema.MemberUpdate{m.self.full()},
		}, nil)
		return
	}
}

func (m *Membership) sendJoin(to Address) {
	p := &cassiaschema.GossipPacket{Kind: cassiaschema.GossipKind_join, Updates: []*cassiaschema.MemberUpdate{m.self.full()}}
	m.count(CountJoinSent)
	m.requestSync(p)
	m.send(to, p, nil)
}
