package cassiatree

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

// EditRequest is the body of plan and apply.
type EditRequest struct {
	YAML         string                `json:"yaml"`
	BaseRevision cassiaid.Revision     `json:"baseRevision"`
	EditID       cassiasettings.EditID `json:"editId"`
	Author       string                `json:"author"`
}

// RollbackRequest is the body of rollback.
type RollbackRequest struct {
	ToRevision cassiaid.Revision     `json:"toRevision"`
	EditID     cassiasettings.EditID `json:"editId"`
	Author     string                `json:"author"`
}

// PlanReply shows what an edit would change.
type PlanReply struct {
	Diff string `json:"diff"`
}

// EditReply is one edit of a subtree.
type EditReply struct {
	Subtree  cassiasettings.Subtree `json:"subtree"`
	Revision cassiaid.Revision      `json:"revision"`
	EditID   cassiasettings.EditID  `json:"editId"`
	Author   string                 `json:"author"`
	Time     time.Time              `json:"time"`
	Bytes    int                    `json:"bytes"`
	YAML     string                 `json:"yaml,omitempty"`
	// Accepted is false for an edit that lost against another one.
	Accepted bool `json:"accepted"`
	InForce  bool `json:"inForce"`
	// StoreRead is false when the store could not be read and the answer is what this VM has in force.
	StoreRead bool `json:"storeRead"`
}

// HistoryReply lists the accepted edits of a subtree, the latest first.
type HistoryReply struct {
	Edits []EditReply `json:"edits"`
}

// InForceReply tells which VM has which generation in force.
type InForceReply struct {
	Generation cassiaid.Generation `json:"generation"`
	Members    []MemberInForce     `json:"members"`
}

// MemberInForce is one live VM and the generation that it last named.
type MemberInForce struct {
	Name             cassiaid.VMName     `json:"name"`
	AvailabilityZone cassiaid.Zone       `json:"availabilityZone"`
	Generation       cassiaid.Generation `json:"generation"`
}

// ErrorKind tells why an operator's request is refused.
type ErrorKind string

// Kinds of refusal on the operator port.
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

// ErrorReply refuses an operator's request.
type ErrorReply struct {
	Kind     ErrorKind                     `json:"kind"`
	Message  string                        `json:"message"`
	Problems []cassiasettings.Problem      `json:"problems,omitempty"`
	Conflict *cassiasettings.ConflictError `json:"conflict,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error returns the message.
func (e *ErrorReply) Error() string { return e.Message }
