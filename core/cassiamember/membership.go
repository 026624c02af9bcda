package cassiamember

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// record is what this VM remembers of another one.
type record struct {
	Member
	// suspectUntil is when the member is declared dead unless it refutes; zero when it is not suspected.
	suspectUntil time.Time
	// deadSince is when the member was declared dead.
	deadSince time.Time
}

// Membership is one VM's view of the members.
type Membership struct {
	self    Member
	clock   Clock
	config  Config
	tuning  Tuning
	members map[cassiaid.VMName]*record
	// local and remote hold the live members of the own and of other zones, dead the remembered dead ones.
	local, remote, dead ring
	digest              digest
	mismatches          int
	rumours             rumours
	budget              budget
	prober              prober
	joiner              joiner
	quarantines         news[cassiaid.Fingerprint, *cassiaschema.QuarantineUpdate]
	targets             news[cassiaid.TargetName, *cassiaschema.TargetUpdate]
	sequence            uint64
	lastTick            time.Time
	nextForget          time.Time
	// suspects is the number of records with a time until which they have to refute.
	suspects int
	// pushDue tells how soon the news of this Update has to go to other members.
	pushDue urgency
	// catchingUp is set while members are taken in that a peer has known for long.
	catchingUp bool
	// defence is what the sender of the packet in hand has to be told of this VM, nil when it is right about it.
	defence *cassiaschema.MemberUpdate
	stopped bool
	effects []Effect
}

// New returns the view of a VM that knows nobody yet.
func New(config Config) *Membership {
	m := &Membership{
		self:        config.Self,
		clock:       config.Clock,
		config:      config,
		tuning:      config.Tuning.withDefaults(),
		members:     make(map[cassiaid.VMName]*record),
		sequence:    config.Random.Uint64() >> 16,
		quarantines: newQuarantineNews(),
		targets:     newTargetNews(),
	}
	m.self.State = Alive
	m.self.Incarnation = Incarnation(uint64(m.clock.Now().UnixMilli()) << refutationBits)
	m.budget = budget{perSecond: m.tuning.BytesPerSecond, burst: m.tuning.BurstBytes}
	m.digest.toggle(m.self)
	return m
}

// Self returns this VM as it describes itself to others.
func (m *Membership) Self() Member { return m.self }

// Members returns the live members and this VM in the order of their names.
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

// Alone tells whether no other live member is known.
func (m *Membership) Alone() bool { return len(m.local.names)+len(m.remote.names) == 0 }

// Update takes one message and returns what has to be done about it.
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
	case Stop:
		m.stop()
	case SettingsChanged:
		m.changeSettings(message.Generation)
	case QuarantineAdded:
		m.quarantines.add(m, message.Fingerprint, true, message.Remaining)
	case TargetLeaving:
		m.targets.add(m, message.Target, message.Leaving, message.Remaining)
	}
	m.pushNews()
	return m.effects
}

func (m *Membership) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Membership) count(counter Counter) { m.emit(Count{Counter: counter}) }

// size returns the number of live members with this VM.
func (m *Membership) size() int { return len(m.local.names) + len(m.remote.names) + 1 }

func (m *Membership) tick() {
	now := m.clock.Now()
	m.skipPause(now)
	if m.suspects > 0 {
		m.expireSuspects(now)
	}
	if len(m.dead.names) > 0 && !now.Before(m.nextForget) {
		m.nextForget = now.Add(m.tuning.ReviveInterval)
		m.forgetDead(now)
	}
	m.quarantines.expire(now)
	m.targets.expire(now)
	m.join(now)
	m.probe(now)
	m.lastTick = now
}

// skipPause keeps a VM that was paused from blaming others for the answers that it slept through.
func (m *Membership) skipPause(now time.Time) {
	pause := now.Sub(m.lastTick)
	if m.lastTick.IsZero() || pause < 2*m.tuning.ProbeInterval {
		return
	}
	m.count(CountPaused)
	m.prober.forget()
	for _, r := range m.members {
		if !r.suspectUntil.IsZero() {
			r.suspectUntil = r.suspectUntil.Add(pause)
		}
	}
}

// expireSuspects declares those dead that did not refute in time.
func (m *Membership) expireSuspects(now time.Time) {
	for _, name := range m.expired(func(r *record) bool {
		return !r.suspectUntil.IsZero() && !now.Before(r.suspectUntil)
	}) {
		u := m.members[name].brief()
		u.State = Dead
		m.count(CountDeclaredDead)
		m.learn(u)
	}
}

// forgetDead drops the members that have been dead for long.
func (m *Membership) forgetDead(now time.Time) {
	for _, name := range m.expired(func(r *record) bool {
		return r.State == Dead && now.Sub(r.deadSince) >= m.tuning.ForgetAfter
	}) {
		m.dead.remove(name)
		delete(m.members, name)
	}
}

// expired returns the names of the members that a condition holds for, in order.
func (m *Membership) expired(condition func(*record) bool) []cassiaid.VMName {
	var names []cassiaid.VMName
	for name, r := range m.members {
		if condition(r) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// learn takes in an update of another member and spreads it when it is news.
func (m *Membership) learn(u *cassiaschema.MemberUpdate) {
	name := cassiaid.VMName(u.GetName())
	if name == m.self.Name {
		m.hearOfSelf(u)
		return
	}
	known, ok := m.members[name]
	if !ok {
		m.introduce(u)
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
		// A run after the known one has ended, hence so has the known one.
		after.State = Dead
	default:
		m.count(CountUnknownBrief)
		return
	}
	m.replace(known, after)
	if isFull(u) && sameRun {
		u = after.brief()
	}
	m.spread(u)
}

// replace gives a record new content.
func (m *Membership) replace(r *record, after Member) {
	before := r.Member
	m.untrack(r)
	r.Member = after
	m.track(r)
	if changed(before, after) {
		m.emit(MembersChanged{})
	}
}

// changed tells whether two descriptions of a member differ in more than a refutation.
func changed(before, after Member) bool {
	before.Incarnation = after.Incarnation
	return before != after
}

// introduce takes in a member that was not known.
func (m *Membership) introduce(u *cassiaschema.MemberUpdate) {
	if !isFull(u) || u.GetState() == Dead {
		m.count(CountUnknownBrief)
		return
	}
	r := &record{Member: memberOf(u)}
	m.members[r.Name] = r
	m.track(r)
	m.spread(u)
	m.emit(MembersChanged{})
}

// track enters a record into the rings, the digest and the timers that its state asks for.
func (m *Membership) track(r *record) {
	m.setSuspectUntil(r, time.Time{})
	r.deadSince = time.Time{}
	if r.State == Dead {
		r.deadSince = m.clock.Now()
		m.dead.insert(r.Name, m.config.Random)
		return
	}
	if r.State == Suspect {
		m.setSuspectUntil(r, m.clock.Now().Add(m.tuning.suspicionTimeout(m.size())))
	}
	m.ringOf(r.Member).insert(r.Name, m.config.Random)
	m.digest.toggle(r.Member)
}

// setSuspectUntil sets when a member is declared dead; a zero time calls that off.
func (m *Membership) setSuspectUntil(r *record, until time.Time) {
	if !r.suspectUntil.IsZero() {
		m.suspects--
	}
	if r.suspectUntil = until; !until.IsZero() {
		m.suspects++
	}
}

// untrack takes a record out of the rings and the digest.
func (m *Membership) untrack(r *record) {
	if r.State == Dead {
		m.dead.remove(r.Name)
		return
	}
	m.ringOf(r.Member).remove(r.Name)
	m.digest.toggle(r.Member)
}

func (m *Membership) ringOf(member Member) *ring {
	if member.Zone == m.self.Zone {
		return &m.local
	}
	return &m.remote
}

// spread queues an update for the other members and asks for it to be pushed.
func (m *Membership) spread(u *cassiaschema.MemberUpdate) {
	if m.catchingUp && u.GetName() != string(m.self.Name) {
		return
	}
	m.rumours.add(rumourOf(u))
	m.pushDue = max(m.pushDue, routine)
	if u.GetState() == Leaving {
		m.pushDue = urgent
	}
}

// hearOfSelf refutes what others wrongly say of this VM.
func (m *Membership) hearOfSelf(u *cassiaschema.MemberUpdate) {
	said := Incarnation(u.GetIncarnation())
	if said < m.self.Incarnation {
		m.defend(said)
		return
	}
	foreign := isFull(u) && Address(u.GetGossipAddress()) != m.self.GossipAddress
	if foreign {
		m.count(CountNameConflict)
	}
	if foreign || said.run() > m.self.Incarnation.run() {
		m.reintroduce(said.nextRun())
		return
	}
	if said == m.self.Incarnation && u.GetState() <= m.self.State {
		return
	}
	m.count(CountRefuted)
	m.setSelf(m.self.State, said+1)
	m.spread(m.self.brief())
	m.defend(said)
}

// defend tells the sender of the packet in hand what this VM is, in full when it knows another run.
func (m *Membership) defend(said Incarnation) {
	m.defence = m.self.brief()
	if said.run() != m.self.Incarnation.run() {
		m.defence = m.self.full()
	}
}

// reintroduce starts a new run of this VM, which replaces any other run of the same name.
func (m *Membership) reintroduce(incarnation Incarnation) {
	m.setSelf(m.self.State, incarnation)
	m.spread(m.self.full())
}

func (m *Membership) setSelf(state State, incarnation Incarnation) {
	m.digest.toggle(m.self)
	m.self.State, m.self.Incarnation = state, incarnation
	m.digest.toggle(m.self)
	m.emit(MembersChanged{})
}

// leave announces that this VM takes no new work, first-hand to its own zone.
func (m *Membership) leave() {
	if m.self.State == Leaving {
		return
	}
	m.setSelf(Leaving, m.self.Incarnation)
	m.tellZone()
}

// stop announces that this VM is gone.
func (m *Membership) stop() {
	m.setSelf(Dead, m.self.Incarnation)
	m.tellZone()
	m.stopped = true
}

// tellZone sends the news to each live member of the own zone and to some of the others.
func (m *Membership) tellZone() {
	m.pushDue = noNews
	for _, name := range m.local.names {
		m.push(name)
	}
	for _, name := range m.pickMembers(2*m.tuning.PushFanout, "") {
		m.push(name)
	}
}

func (m *Membership) changeSettings(generation cassiaid.Generation) {
	if generation == m.self.SettingsGeneration {
		return
	}
	m.self.SettingsGeneration = generation
	m.pushDue = urgent
}
