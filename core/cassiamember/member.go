package cassiamember

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Region names a region, a group of availability zones.
type Region string

// Address is a network address of the form IP:port.
type Address string

// State is a member's state as this VM sees it.
type State = cassiaschema.MemberState

// Member states. At the same incarnation, a later state in this list replaces an earlier one.
const (
	Alive   = cassiaschema.MemberState_alive
	Suspect = cassiaschema.MemberState_suspect
	Leaving = cassiaschema.MemberState_leaving
	Dead    = cassiaschema.MemberState_dead
)

// Incarnation orders the updates about one VM. Its upper bits identify a run of the VM, as a rule by the start of the
// process in Unix milliseconds; its lower bits count the refutations in that run.
type Incarnation uint64

// refutationBits is the number of bits that count the refutations of one run.
const refutationBits = 12

// run returns the bits that identify the run.
func (i Incarnation) run() uint64 { return uint64(i) >> refutationBits }

// nextRun returns the first incarnation of the run after this one.
func (i Incarnation) nextRun() Incarnation { return Incarnation((i.run() + 1) << refutationBits) }

// Member is one VM of the system.
type Member struct {
	Name               cassiaid.VMName
	Region             Region
	Zone               cassiaid.Zone
	PeerAddress        Address
	GossipAddress      Address
	Incarnation        Incarnation
	State              State
	SettingsGeneration cassiaid.Generation
}

// Live reports whether the member takes part; a suspect and a leaving member still do.
func (m Member) Live() bool { return m.State != Dead }

// full returns an update with all fields, from which a VM that does not know the member can add it.
func (m Member) full() *cassiaschema.MemberUpdate {
	u := m.brief()
	u.Region = string(m.Region)
	u.AvailabilityZone = string(m.Zone)
	u.PeerAddress = string(m.PeerAddress)
	u.GossipAddress = string(m.GossipAddress)
	u.SettingsGeneration = uint64(m.SettingsGeneration)
	return u
}

// brief returns an update of state and incarnation only, for VMs that know this run of the member.
func (m Member) brief() *cassiaschema.MemberUpdate {
	return &cassiaschema.MemberUpdate{Name: string(m.Name), State: m.State, Incarnation: uint64(m.Incarnation)}
}

// memberOf returns the member that a full update describes.
func memberOf(u *cassiaschema.MemberUpdate) Member {
	return Member{
		Name:               cassiaid.VMName(u.GetName()),
		Region:             Region(u.GetRegion()),
		Zone:               cassiaid.Zone(u.GetAvailabilityZone()),
		PeerAddress:        Address(u.GetPeerAddress()),
		GossipAddress:      Address(u.GetGossipAddress()),
		Incarnation:        Incarnation(u.GetIncarnation()),
		State:              u.GetState(),
		SettingsGeneration: cassiaid.Generation(u.GetSettingsGeneration()),
	}
}

// isFull reports whether an update holds the addresses that are needed to add a member.
func isFull(u *cassiaschema.MemberUpdate) bool { return u.GetGossipAddress() != "" }

// supersedes reports whether an update is newer than what is known of a member.
func supersedes(u *cassiaschema.MemberUpdate, known Member) bool {
	incarnation := Incarnation(u.GetIncarnation())
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return u.GetState() > known.State
}
