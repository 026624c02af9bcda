package cassiagossip

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
)

// Subscriber receives what a Gossip learns; its functions are called one at a time and may be nil.
type Subscriber struct {
	// Members is called with the live members after they changed.
	Members func(members []cassiamember.Member)
	// PeerSettings is called when a peer has another generation of the settings in force.
	PeerSettings func(name cassiaid.VMName, generation cassiaid.Generation)
	// Quarantine is called when a peer quarantined a request fingerprint.
	Quarantine func(fingerprint cassiaid.Fingerprint, remaining time.Duration)
	// Target is called when a peer saw a target leave, or come back when leaving is false.
	Target func(target cassiaid.TargetName, leaving bool, remaining time.Duration)
}

// notify calls the function that an effect is for.
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
		if s.Target != nil {
			s.Target(effect.Target, effect.Leaving, effect.Remaining)
		}
	}
}
