package cassiamember

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Effect is something the caller of Update has to do.
type Effect interface{ isEffect() }

// SendPacket asks for a datagram to be sealed and sent.
type SendPacket struct {
	To     Address
	Packet *cassiaschema.GossipPacket
}

// MembersChanged tells that Members returns something new.
type MembersChanged struct{}

// PeerSettings tells which generation of the settings a peer has in force.
type PeerSettings struct {
	Name       cassiaid.VMName
	Generation cassiaid.Generation
}

// QuarantineLearned tells that a peer quarantined a request fingerprint.
type QuarantineLearned struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

// TargetLearned tells that a peer saw a target leave, or come back when Leaving is false.
type TargetLearned struct {
	Target    cassiaid.TargetName
	Leaving   bool
	Remaining time.Duration
}

// Count asks for a counter to be raised by one.
type Count struct{ Counter Counter }

func (SendPacket) isEffect()        {}
func (MembersChanged) isEffect()    {}
func (PeerSettings) isEffect()      {}
func (QuarantineLearned) isEffect() {}
func (TargetLearned) isEffect()     {}
func (Count) isEffect()             {}

// Counter names a metric of membership.
type Counter string

// Counters raised by a Membership.
const (
	CountProbe          Counter = "probe"
	CountProbeIndirect  Counter = "probeIndirect"
	CountProbeFailed    Counter = "probeFailed"
	CountSuspected      Counter = "suspected"
	CountDeclaredDead   Counter = "declaredDead"
	CountRefuted        Counter = "refuted"
	CountNameConflict   Counter = "nameConflict"
	CountJoinSent       Counter = "joinSent"
	CountSyncAsked      Counter = "syncAsked"
	CountSyncSent       Counter = "syncSent"
	CountPush           Counter = "push"
	CountPushSkipped    Counter = "pushSkipped"
	CountPaused         Counter = "paused"
	CountBadPacket      Counter = "badPacket"
	CountUnknownBrief   Counter = "unknownBrief"
	CountQuarantineFull Counter = "quarantineFull"
	CountTargetFull     Counter = "targetFull"
)
