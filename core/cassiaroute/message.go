package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is something that a Table learns.
type Message interface{ isMessage() }

// MembersChanged replaces the live members, this VM included.
type MembersChanged struct{ Members []Member }

// SettingsChanged replaces the fronts in force.
type SettingsChanged struct {
	Fronts map[cassiaid.FrontKey]*cassiaschema.Front
}

// ResultSeen brings the outcome of one attempt.
type ResultSeen struct {
	Front  cassiaid.FrontKey
	Result *cassiaschema.ShardResult
	// Took is the time since this VM sent the attempt; zero when it did not send it itself.
	Took time.Duration
}

// KnowledgeSeen brings an owner's view of targets, which may rest on their health endpoints.
type KnowledgeSeen struct {
	Targets []*cassiaschema.TargetKnowledge
}

// TargetLeaving tells that a target is about to stop.
type TargetLeaving struct {
	Target cassiaid.TargetName
	Source LeavingSource
	// Remaining is how long the sign is valid; zero gives the default.
	Remaining time.Duration
}

// TargetBack tells that a target takes work again.
type TargetBack struct{ Target cassiaid.TargetName }

// PlatformLeaving replaces the platform's list of targets that it is about to stop.
type PlatformLeaving struct{ Targets []cassiaid.TargetName }

// OwnerUnreachable tells that a VM could not be reached.
type OwnerUnreachable struct {
	Owner cassiaid.VMName
	// At is when that was found, the time of the update when zero.
	At time.Time
}

// OwnerReachable tells that a VM has answered.
type OwnerReachable struct{ Owner cassiaid.VMName }

// AttemptSent tells that an attempt has left this VM.
type AttemptSent struct {
	Front  cassiaid.FrontKey
	Target cassiaid.TargetName
	// Extra is true for a hedge or a retry.
	Extra bool
}

// AttemptEnded tells that an attempt is answered, refused or given up.
type AttemptEnded struct {
	Target cassiaid.TargetName
	// GaveUpAfter is how long this VM waited for an attempt that it gave up; zero for one with an outcome.
	GaveUpAfter time.Duration
}

func (MembersChanged) isMessage()   {}
func (SettingsChanged) isMessage()  {}
func (ResultSeen) isMessage()       {}
func (KnowledgeSeen) isMessage()    {}
func (TargetLeaving) isMessage()    {}
func (TargetBack) isMessage()       {}
func (PlatformLeaving) isMessage()  {}
func (OwnerUnreachable) isMessage() {}
func (OwnerReachable) isMessage()   {}
func (AttemptSent) isMessage()      {}
func (AttemptEnded) isMessage()     {}

// LeavingSource tells where the sign of a leaving target came from. The target's own reply closes a target even when it
// is the last of its shard, as does the list of PlatformLeaving; the other signs only put it behind the shard's others.
type LeavingSource string

// Sources of the sign that a target leaves.
const (
	// SourceReply is the target's own reply.
	SourceReply LeavingSource = "reply"
	// SourceNotice is a sign that another VM has seen.
	SourceNotice LeavingSource = "notice"
	// SourceHealth is the target's health endpoint, which may lag or mislead.
	SourceHealth LeavingSource = "health"
	// SourceRefused is a refused connection.
	SourceRefused LeavingSource = "refusedConnection"
)
