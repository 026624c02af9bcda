package cassiamember

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Message is something that happened to this VM.
type Message interface{ isMessage() }

// Packet is a datagram of a peer that holds the cluster key.
type Packet struct {
	// Source is the address that the datagram came from.
	Source Address
	Packet *cassiaschema.GossipPacket
}

// Tick tells that time has passed; it is due every TickInterval.
type Tick struct{}

// SeedList brings the platform's list of VMs, which may lag behind reality.
type SeedList struct{ Seeds []Seed }

// Seed is a VM that may be asked to join.
type Seed struct {
	Name          cassiaid.VMName
	GossipAddress Address
}

// Leave announces that this VM stops soon and takes no new work.
type Leave struct{}

// Stop announces that this VM stops now; it is the last message.
type Stop struct{}

// SettingsChanged tells which generation of the settings is in force on this VM.
type SettingsChanged struct{ Generation cassiaid.Generation }

// QuarantineAdded tells that this VM quarantined a request fingerprint.
type QuarantineAdded struct {
	Fingerprint cassiaid.Fingerprint
	Remaining   time.Duration
}

// TargetLeaving tells that this VM saw a target leave, or come back when Leaving is false.
type TargetLeaving struct {
	Target    cassiaid.TargetName
	Leaving   bool
	Remaining time.Duration
}

func (Packet) isMessage()          {}
func (Tick) isMessage()            {}
func (SeedList) isMessage()        {}
func (Leave) isMessage()           {}
func (Stop) isMessage()            {}
func (SettingsChanged) isMessage() {}
func (QuarantineAdded) isMessage() {}
func (TargetLeaving) isMessage()   {}
