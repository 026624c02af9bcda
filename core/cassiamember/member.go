package cassiamember

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Region names a region, a group of availability zones.
type Region string

// Address is a UDP address by IP number and port.
type Address string

// State is a member's state as this VM sees it.
type State = cassiaschema.MemberState

// States of a member; at one incarnation a later state replaces an earlier one.
const (
	Alive   = cassiaschema.MemberState_alive
	Suspect = cassiaschema.MemberState_suspect
	Leaving = cassiaschema.MemberState_leaving
	Dead    = cassiaschema.MemberState_dead
)

// Incarnation orders what is said of one VM: the start of its run in the upper bits, its refutations in the lower ones.
type Incarnation uint64

// refutationBits is the number of bits that count the refutations of one run.
const refutationBits = 12

// run returns the part that differs between two runs of a VM.
func (i Incarnation) run() uint64 { return uint64(i) >> refutationBits }

// nextRun returns the first incarnation of a run after this one.
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

// Live tells whether the member still takes part, which a suspect and a leaving one do.
func (m Member) Live() bool { return m.State != Dead }

// full returns an update that can introduce the member to a VM that does not know it.
func (m Member) full() *cassiaschema.MemberUpdate {
	u := m.brief()
	u.Region = string(m.Region)
	u.AvailabilityZone = string(m.Zone)
	u.PeerAddress = string(m.PeerAddress)
	u.GossipAddress = string(m.GossipAddress)
	u.SettingsGeneration = uint64(m.SettingsGeneration)
	return u
}

// brief returns an update for VMs that know this run of the member.
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

// isFull tells whether an update can introduce a member.
func isFull(u *cassiaschema.MemberUpdate) bool { return u.GetGossipAddress() != "" }

// supersedes tells whether an update replaces what is known of a member.
func supersedes(u *cassiaschema.MemberUpdate, known Member) bool {
	incarnation := Incarnation(u.GetIncarnation())
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return u.GetState() > known.State
}
