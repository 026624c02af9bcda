package cassiamember

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Effect is an action that the caller of Update has to perform.
type Effect interface{ isEffect() }

// SendPacket asks for a packet to be sealed and sent in a datagram.
type SendPacket struct {
	To     Address
	Packet *cassiaschema.GossipPacket
}

// MembersChanged reports that the result of Members has changed. A new settings generation of a peer is reported by
// PeerSettings when it is learned from a packet of that peer, and by MembersChanged when it is learned from a full
// update about it.
type MembersChanged struct{}

// PeerSettings reports a change of the settings generation that is in force on a peer.
type PeerSettings struct {
	Name       cassiaid.VMName
	Generation cassiaid.Generation
}

// QuarantineLearned reports that a peer quarantined a request fingerprint.
type QuarantineLearned struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

// TargetLearned reports that a peer saw a target leave, or come back when Leaving is false.
type TargetLearned struct {
	Target    cassiaid.TargetName
	Leaving   bool
	Remaining time.Duration
}

// Count asks for a counter to be incremented by one.
type Count struct{ Counter Counter }

func (SendPacket) isEffect()        {}
func (MembersChanged) isEffect()    {}
func (PeerSettings) isEffect()      {}
func (QuarantineLearned) isEffect() {}
func (TargetLearned) isEffect()     {}
func (Count) isEffect()             {}

// Counter names a metric of membership.
type Counter string

// Counters incremented by a Membership.
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
