package cassiatree

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

// EditRequest is the body of plan and apply requests.
type EditRequest struct {
	YAML         string                `json:"yaml"`
	BaseRevision cassiaid.Revision     `json:"baseRevision"`
	EditID       cassiasettings.EditID `json:"editId"`
	Author       string                `json:"author"`
}

// RollbackRequest is the body of a rollback request.
type RollbackRequest struct {
	ToRevision cassiaid.Revision     `json:"toRevision"`
	EditID     cassiasettings.EditID `json:"editId"`
	Author     string                `json:"author"`
}

// PlanReply holds the change that an edit would make, as a unified diff.
type PlanReply struct {
	Diff string `json:"diff"`
}

// EditReply describes one edit of a subtree. Bytes is the length of its YAML text, which is left out in a history.
type EditReply struct {
	Subtree  cassiasettings.Subtree `json:"subtree"`
	Revision cassiaid.Revision      `json:"revision"`
	EditID   cassiasettings.EditID  `json:"editId"`
	Author   string                 `json:"author"`
	Time     time.Time              `json:"time"`
	Bytes    int                    `json:"bytes"`
	YAML     string                 `json:"yaml,omitempty"`
	// Accepted is false for an edit that was stored but is not in the subtree's history, for example because another
	// edit was accepted first.
	Accepted bool `json:"accepted"`
	InForce  bool `json:"inForce"`
	// StoreRead is false if the store could not be read and the reply shows the edit in force on this VM.
	StoreRead bool `json:"storeRead"`
}

// HistoryReply lists the accepted edits of a subtree, the latest first.
type HistoryReply struct {
	Edits []EditReply `json:"edits"`
}

// GenerationsReply lists the live VMs with the generation in force on each. Generation is that of the replying VM.
type GenerationsReply struct {
	Generation cassiaid.Generation `json:"generation"`
	Members    []MemberGeneration  `json:"members"`
}

// MemberGeneration is one live VM and the generation that it last reported as in force.
type MemberGeneration struct {
	Name             cassiaid.VMName     `json:"name"`
	AvailabilityZone cassiaid.Zone       `json:"availabilityZone"`
	Generation       cassiaid.Generation `json:"generation"`
}

// ErrorKind classifies why an operator's request was refused.
type ErrorKind string

// Kinds of errors that the operator port returns.
const (
	ErrorBadRequest     ErrorKind = "badRequest"
	ErrorInvalid        ErrorKind = "invalid"
	ErrorConflict       ErrorKind = "conflict"
	ErrorForbidden      ErrorKind = "forbidden"
	ErrorNotFound       ErrorKind = "notFound"
	ErrorTooLarge       ErrorKind = "tooLarge"
	ErrorUnavailable    ErrorKind = "unavailable"
	ErrorStoreBehind    ErrorKind = "storeBehind"
	ErrorOutcomeUnknown ErrorKind = "outcomeUnknown"
	ErrorInternal       ErrorKind = "internal"
)

// ErrorReply is the body of a reply to an operator's request that was refused or failed.
type ErrorReply struct {
	Kind     ErrorKind                     `json:"kind"`
	Message  string                        `json:"message"`
	Problems []cassiasettings.Problem      `json:"problems,omitempty"`
	Conflict *cassiasettings.ConflictError `json:"conflict,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error returns Message.
func (e *ErrorReply) Error() string { return e.Message }
