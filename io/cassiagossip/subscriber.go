package cassiagossip

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
)

// Subscriber receives changes that a Gossip learns from peers. Its functions are called one at a time and may be nil.
type Subscriber struct {
	// Members is called with the live members after a change.
	Members func(members []cassiamember.Member)
	// PeerSettings is called when the generation of the settings in force on a peer changes.
	PeerSettings func(name cassiaid.VMName, generation cassiaid.Generation)
	// Quarantine is called when a peer quarantined a request fingerprint, with the time until the quarantine ends.
	Quarantine func(fingerprint cassiaid.Fingerprint, remaining time.Duration)
	// TargetNotice is called when a peer saw a target leave, or come back when leaving is false, with the time until the
	// notice expires.
	TargetNotice func(target cassiaid.TargetName, leaving bool, remaining time.Duration)
}

// notify calls the function that handles the type of the effect.
func (s Subscriber) notify(effect cassiamember.Effect) {
	switch effect := effect.(type) {
	case cassiamember.PeerSettings:
		if s.PeerSettings != nil {
			s.PeerSettings(effect.Name, effect.Generation)
		}
	case cassiamember.QuarantineLearned:
		if s.Quarantine != nil {
			s.Quarantine(effect.Fingerprint, effect.Remaining)
		}
	case cassiamember.TargetLearned:
		if s.TargetNotice != nil {
			s.TargetNotice(effect.Target, effect.Leaving, effect.Remaining)
		}
	}
}
