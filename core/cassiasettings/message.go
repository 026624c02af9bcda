package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is something that happened and may matter to the spreading of settings.
type Message interface{ isMessage() }

// Member is a live VM as membership sees it.
type Member struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// Generation is the highest generation that the VM said it has in force; 0 when it said none.
	Generation cassiaid.Generation
}

// CallID ties the answer of a call to the store to the effect that asked for it.
type CallID uint64

// MembersChanged brings the live members.
type MembersChanged struct{ Members []Member }

// DigestReceived tells that a VM has a generation in force.
type DigestReceived struct {
	From       cassiaid.VMName
	Generation cassiaid.Generation
}

// StateReceived is a VM's answer to a Pull.
type StateReceived struct {
	From  cassiaid.VMName
	State *cassiaschema.SettingsState
}

// PullFailed tells that a VM did not answer a Pull.
type PullFailed struct{ From cassiaid.VMName }

// HeadRead brings the head from the store; Head is nil when the store holds none.
type HeadRead struct {
	Call     CallID
	Head     *cassiaschema.SettingsHead
	Revision uint64
}

// HeadUnchanged tells that a WatchHead ended without a change.
type HeadUnchanged struct{ Call CallID }

// EditsRead brings edits from the store.
type EditsRead struct {
	Call  CallID
	Edits []*cassiaschema.SettingsEdit
}

// StoreFailed tells that a call to the store failed.
type StoreFailed struct{ Call CallID }

// EditAccepted tells that this VM itself wrote the head of a tree to the store.
type EditAccepted struct{ Tree *Tree }

// Tick tells that time has passed.
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
