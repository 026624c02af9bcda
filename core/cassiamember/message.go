package cassiamember

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is an event that a Membership handles.
type Message interface{ isMessage() }

// Packet is a datagram of a peer that holds the cluster key.
type Packet struct {
	// Source is the address that the datagram came from.
	Source Address
	Packet *cassiaschema.GossipPacket
}

// Tick reports that time has passed; it is due every TickInterval.
type Tick struct{}

// SeedList replaces the seeds by the platform's list of VMs, which may be out of date.
type SeedList struct{ Seeds []Seed }

// Seed is a VM that may be asked for the members.
type Seed struct {
	Name          cassiaid.VMName
	GossipAddress Address
}

// Leave announces that this VM stops soon and takes no new work.
type Leave struct{}

// IsolationChanged reports that this VM reaches no target any more and takes no new work, or that it reaches targets again.
type IsolationChanged struct{ Isolated bool }

// Stop announces that this VM stops now; messages after it are ignored.
type Stop struct{}

// SettingsChanged reports which generation of the settings is in force on this VM.
type SettingsChanged struct{ Generation cassiaid.Generation }

// QuarantineAdded reports that this VM quarantined a request fingerprint.
type QuarantineAdded struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

// TargetObserved reports that this VM saw a target leave, or come back when Leaving is false.
type TargetObserved struct {
	Target    cassiaid.TargetName
	Leaving   bool
	Remaining time.Duration
}

func (Packet) isMessage()           {}
func (Tick) isMessage()             {}
func (SeedList) isMessage()         {}
func (Leave) isMessage()            {}
func (IsolationChanged) isMessage() {}
func (Stop) isMessage()             {}
func (SettingsChanged) isMessage()  {}
func (QuarantineAdded) isMessage()  {}
func (TargetObserved) isMessage()   {}
