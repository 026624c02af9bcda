package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

// suspectLoss is the loss of a target that ran the request of a suspect.
type suspectLoss struct {
	at     time.Time
	target cassiaid.TargetName
	shard  cassiaid.ShardIndex
	// alone is true when the request was already a suspect and ran on the target with no other request.
	alone bool
	// local is true when this VM observed the loss itself.
	local bool
	// others are the other requests that ran on the target.
	others []cassiaid.Fingerprint
}

// suspect is a request that ran on a lost target and that no answer has cleared since.
type suspect struct{ losses []suspectLoss }

// involves reports whether a target was lost while it ran the request. It is false for a nil suspect.
func (s *suspect) involves(target cassiaid.TargetName) bool {
	return s != nil && slices.ContainsFunc(s.losses, func(l suspectLoss) bool { return l.target == target })
}

// dropBefore drops the losses from before a time.
func (s *suspect) dropBefore(before time.Time) {
	s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return l.at.Before(before) })
}

// clearShard drops the losses of a shard after one of its targets has answered the request.
func (s *suspect) clearShard(shard cassiaid.ShardIndex) {
	s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return l.shard == shard })
}

// ofShard returns the losses of one shard.
func (s *suspect) ofShard(shard cassiaid.ShardIndex) []suspectLoss {
	var losses []suspectLoss
	for _, l := range s.losses {
		if l.shard == shard {
			losses = append(losses, l)
		}
	}
	return losses
}

// localLosses returns the losses that this VM observed itself.
func (s *suspect) localLosses() []suspectLoss {
	return slices.DeleteFunc(slices.Clone(s.losses), func(l suspectLoss) bool { return !l.local })
}

// noOtherCommonRequest reports whether no other request ran on every one of the lost targets. It is false without losses.
func noOtherCommonRequest(losses []suspectLoss) bool {
	if len(losses) == 0 {
		return false
	}
	for _, other := range losses[0].others {
		inAll := true
		for _, l := range losses[1:] {
			inAll = inAll && slices.Contains(l.others, other)
		}
		if inAll {
			return false
		}
	}
	return true
}

// lostWhileAlone reports whether one of the targets was lost while the request, already a suspect, ran on it alone.
func lostWhileAlone(losses []suspectLoss) bool {
	return slices.ContainsFunc(losses, func(l suspectLoss) bool { return l.alone })
}

// countTargets returns the number of different targets among the losses.
func countTargets(losses []suspectLoss) int {
	targets := make(map[cassiaid.TargetName]struct{}, len(losses))
	for _, l := range losses {
		targets[l.target] = struct{}{}
	}
	return len(targets)
}
