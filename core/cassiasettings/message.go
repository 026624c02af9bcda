package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is an event that Propagation.Update handles.
type Message interface{ isMessage() }

// Member is a VM that membership considers alive.
type Member struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Generation is the highest generation that the VM has reported as in force, or 0 if it has reported none.
	Generation cassiaid.Generation
}

// CallID matches the answer of a store call with the effect that started the call.
type CallID uint64

// MembersChanged carries the current live members. Whether this VM is among them makes no difference.
type MembersChanged struct{ Members []Member }

// DigestReceived reports which generation another VM has in force.
type DigestReceived struct {
	From       cassiaid.VMName
	Generation cassiaid.Generation
}

// StateReceived is a VM's answer to a Pull.
type StateReceived struct {
	From  cassiaid.VMName
	State *cassiaschema.SettingsState
}

// PullFailed reports that a VM did not answer a Pull.
type PullFailed struct{ From cassiaid.VMName }

// HeadRead carries the head from the store and its store revision, the number that the store itself assigned to the
// write of the head; it is unrelated to the revisions of subtrees. Head is nil if the store holds none.
type HeadRead struct {
	Call     CallID
	Head     *cassiaschema.SettingsHead
	Revision uint64
}

// HeadUnchanged reports that a WatchHead ended without a change.
type HeadUnchanged struct{ Call CallID }

// EditsRead carries edits from the store.
type EditsRead struct {
	Call  CallID
	Edits []*cassiaschema.SettingsEdit
}

// StoreFailed reports that a store call failed.
type StoreFailed struct{ Call CallID }

// EditAccepted reports that this VM has written the head of a new tree to the store.
type EditAccepted struct{ Tree *Tree }

// Tick reports that time has passed; the caller sends it at a regular interval.
type Tick struct{}

func (MembersChanged) isMessage() {}
func (DigestReceived) isMessage() {}
func (StateReceived) isMessage()  {}
func (PullFailed) isMessage()     {}
func (HeadRead) isMessage()       {}
func (HeadUnchanged) isMessage()  {}
func (EditsRead) isMessage()      {}
func (StoreFailed) isMessage()    {}
func (EditAccepted) isMessage()   {}
func (Tick) isMessage()           {}
