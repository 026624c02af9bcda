package cassiaroute

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is an input of Table.Update.
type Message interface{ isMessage() }

// MembersChanged replaces the live members, this VM included.
type MembersChanged struct{ Members []Member }

// SettingsChanged replaces the fronts in force.
type SettingsChanged struct {
	Fronts map[cassiaid.FrontKey]*cassiaschema.Front
}

// ResultSeen reports the outcome of one attempt.
type ResultSeen struct {
	Front  cassiaid.FrontKey
	Result *cassiaschema.ShardResult
	// Took is the time since this VM sent the attempt; zero when another VM sent it.
	Took time.Duration
}

// KnowledgeSeen reports an owner's view of targets, which may come from their health endpoints only.
type KnowledgeSeen struct {
	Targets []*cassiaschema.TargetKnowledge
}

// TargetLeaving reports that a target is about to stop.
type TargetLeaving struct {
	Target cassiaid.TargetName
	Source LeavingSource
	// Remaining is how long the report is valid; zero gives the default of one minute.
	Remaining time.Duration
}

// TargetBack reports that a target accepts work again.
type TargetBack struct{ Target cassiaid.TargetName }

// PlatformLeaving replaces the platform's list of targets that it is about to stop.
type PlatformLeaving struct{ Targets []cassiaid.TargetName }

// OwnerUnreachable reports that a VM could not be reached.
type OwnerUnreachable struct {
	Owner cassiaid.VMName
	// At is when the VM was found unreachable; zero means the time of the update.
	At time.Time
}

// OwnerReachable reports that something was received from a VM.
type OwnerReachable struct{ Owner cassiaid.VMName }

// IsolationChanged reports that this VM reaches no target any more, or reaches targets again. What it found of targets out of reach
// is void.
type IsolationChanged struct{}

// AttemptSent reports that this VM has sent an attempt.
type AttemptSent struct {
	Front  cassiaid.FrontKey
	Target cassiaid.TargetName
	// Extra is true for a hedge or a retry.
	Extra bool
}

// AttemptEnded reports that an attempt was answered, refused or given up.
type AttemptEnded struct {
	Target cassiaid.TargetName
	// GaveUpAfter is how long this VM waited for an attempt that it gave up; zero for an attempt with an outcome.
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
func (IsolationChanged) isMessage() {}
func (AttemptSent) isMessage()      {}
func (AttemptEnded) isMessage()     {}

// LeavingSource is where a report of a leaving target came from. After the target's own reply the target gets no work,
// even if it is the last one of its shard; the same holds for the targets of PlatformLeaving. After a report from
// another source the target is still used when its shard has no open target.
type LeavingSource string

// Sources of a report that a target is leaving.
const (
	// SourceReply is the target's own reply.
	SourceReply LeavingSource = "reply"
	// SourceNotice is a report from another VM.
	SourceNotice LeavingSource = "notice"
	// SourceHealth is the target's health endpoint, which may lag or be wrong.
	SourceHealth LeavingSource = "health"
	// SourceRefused is a refused connection.
	SourceRefused LeavingSource = "refusedConnection"
)
