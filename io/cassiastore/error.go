package cassiastore

import "fmt"

// Kind classifies how a call to the platform failed.
type Kind string

// Kinds of failures.
const (
	// Conflict means that the key is not at the expected revision; nothing was written.
	Conflict Kind = "conflict"
	// Unavailable means that the platform could not be reached or failed, and that the call had no effect.
	Unavailable Kind = "unavailable"
	// Unreadable means that the reply to a read is longer than the client accepts or can't be decoded; the same read is likely to
	// get the same reply.
	Unreadable Kind = "unreadable"
	// OutcomeUnknown means that a write may or may not have taken effect.
	OutcomeUnknown Kind = "outcomeUnknown"
	// TooLarge means that the value is over the store's limit; nothing was written.
	TooLarge Kind = "tooLarge"
	// LeaseLapsed means that the lease has expired or never existed.
	LeaseLapsed Kind = "leaseLapsed"
	// Refused means that the platform rejected the call, for instance because of a wrong token, or that no valid HTTP
	// request can be built from the address and path.
	Refused Kind = "refused"
)

// Error describes a failed call to the platform.
type Error struct {
	Kind Kind
	Call string
	// Revision is the key's current revision if Kind is Conflict.
	Revision Revision
	Cause    error
}

// Error returns the call, the kind, the cause and a remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("platform call %s: %s: %v; %s", e.Call, e.Kind, e.Cause, e.remedy())
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func (e *Error) remedy() string {
	switch e.Kind {
	case Conflict:
		return "read the key again before the next write"
	case OutcomeUnknown:
		return "read the key back to learn whether the write took effect"
	case TooLarge:
		return "write a smaller value"
	case Unreadable:
		return "read in another way, such as in pages"
	case LeaseLapsed:
		return "take a new lease"
	case Refused:
		return "check platformAddress and platformToken"
	default:
		return "try again later; the platform's service may be down"
	}
}
