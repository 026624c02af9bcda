package cassiamember

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Membership is one VM's view of the members. Its methods must not be called concurrently.
type Membership struct {
	self    Member
	clock   Clock
	config  Config
	tuning  Tuning
	members map[cassiaid.VMName]*record
	// local holds the other live members of this VM's zone, remote the live members of other zones, and dead the dead
	// members that are not yet forgotten.
	local, remote, dead shuffledList
	digest              digest
	// mismatches is the number of packets since the last sync request whose sender had another digest.
	mismatches      int
	broadcasts      broadcastQueue
	budget          byteBudget
	prober          prober
	joiner          joiner
	quarantines     noticeDisseminator[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate]
	targets         noticeDisseminator[cassiaid.TargetName, *cassiaschema.TargetUpdate]
	sequence        uint64
	lastTick        time.Time
	nextForgetCheck time.Time
	// suspicionTimers is the number of records whose suspicionExpiry is set.
	suspicionTimers int
	// pendingPush is how soon the updates learned in this call of Update have to be pushed.
	pendingPush pushUrgency
	// inJoinReply is set while a joinReply is handled; its members are not broadcast, since the other members already
	// have them.
	inJoinReply bool
	// correction is an update about this VM for the sender of the packet being handled, nil when that sender has the
	// right state of this VM.
	correction *cassiaschema.MemberUpdate
	// stopping is true once a Leave has come, so that the end of an isolation does not make this VM alive again.
	stopping, stopped bool
	effects           []Effect
}

// New returns the view of a VM that knows no other member.
func New(config Config) *Membership {
	m := &Membership{
		self:        config.Self,
		clock:       config.Clock,
		config:      config,
		tuning:      config.Tuning.withDefaults(),
		members:     make(map[cassiaid.VMName]*record),
		sequence:    config.Random.Uint64() >> 16,
		quarantines: newQuarantineDisseminator(),
		targets:     newTargetDisseminator(),
	}
	m.self.State = Alive
	m.self.Incarnation = Incarnation(uint64(m.clock.Now().UnixMilli()) << refutationBits)
	m.budget = byteBudget{perSecond: m.tuning.BytesPerSecond, burst: m.tuning.BurstBytes}
	m.digest.toggle(m.self)
	return m
}

// Self returns this VM as it describes itself to others.
func (m *Membership) Self() Member { return m.self }

// Members returns the live members, including this VM unless it has stopped, sorted by name.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.members)+1)
	if m.self.Live() {
		members = append(members, m.self)
	}
	for _, r := range m.members {
		if r.Live() {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// LeavingTargets returns what is known of targets that are leaving, with the time for which it is still valid.
func (m *Membership) LeavingTargets() []TargetLearned {
	var leaving []TargetLearned
	for _, n := range m.targets.notices {
		if remaining := n.expiry.Sub(m.clock.Now()); n.active && remaining > 0 {
			leaving = append(leaving, TargetLearned{Target: n.key, Leaving: true, Remaining: remaining})
		}
	}
	return leaving
}

// Alone reports whether no other live member is known.
func (m *Membership) Alone() bool { return len(m.local.names)+len(m.remote.names) == 0 }

// Update handles one message and returns the effects that the caller has to perform, none after Stop.
func (m *Membership) Update(message Message) []Effect {
	if m.stopped {
		return nil
	}
	m.effects = nil
	m.budget.refill(m.clock.Now())
	switch message := message.(type) {
	case Packet:
		m.receive(message)
	case Tick:
		m.tick()
	case SeedList:
		m.joiner.seeds = message.Seeds
	case Leave:
		m.leave()
	case IsolationChanged:
		m.setIsolated(message.Isolated)
	case Stop:
		m.stop()
	case SettingsChanged:
		m.changeSettings(message.Generation)
	case QuarantineAdded:
		m.quarantines.addLocal(m, message.Fingerprint, true, message.Remaining)
	case TargetObserved:
		m.targets.addLocal(m, message.Target, message.Leaving, message.Remaining)
	}
	m.pushPending()
	return m.effects
}

func (m *Membership) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Membership) count(counter Counter) { m.emit(Count{Counter: counter}) }

// size returns the number of live members, including this VM.
func (m *Membership) size() int { return len(m.local.names) + len(m.remote.names) + 1 }
