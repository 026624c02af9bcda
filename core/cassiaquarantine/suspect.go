package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

// strike is one loss of a target that ran a request.
type suspectLoss struct {
	at     time.Time
	target cassiaid.TargetName
	shard  cassiaid.ShardIndex
	// alone is true when the request ran as a known suspect with nothing else on the target.
	alone bool
	// seen is true when this VM saw the loss itself.
	local bool
	// others are the requests that ran on the target too.
	others []cassiaid.Fingerprint
}

// suspect is a request that ran on a target which was lost and that has not been cleared by an answer.
type suspect struct{ losses []suspectLoss }

// lost tells whether a target was lost while it ran the request; it is false without a suspect.
func (s *suspect) involves(target cassiaid.TargetName) bool {
	return s != nil && slices.ContainsFunc(s.losses, func(l suspectLoss) bool { return l.target == target })
}

// forget drops strikes from before a time.
func (s *suspect) dropBefore(before time.Time) {
	s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return l.at.Before(before) })
}

// clear drops the strikes of a shard, whose target has answered the request.
func (s *suspect) clearShard(shard cassiaid.ShardIndex) {
	s.losses = slices.DeleteFunc(s.losses, func(l suspectLoss) bool { return l.shard == shard })
}

// of returns the strikes of one shard.
func (s *suspect) ofShard(shard cassiaid.ShardIndex) []suspectLoss {
	var losses []suspectLoss
	for _, l := range s.losses {
		if l.shard == shard {
			losses = append(losses, l)
		}
	}
	return losses
}

// seen returns the strikes that this VM saw itself.
func (s *suspect) localLosses() []suspectLoss {
	return slices.DeleteFunc(slices.Clone(s.losses), func(l suspectLoss) bool { return !l.local })
}

// onlyCommon tells whether no other request ran on every lost target.
func isOnlyCommonRequest(losses []suspectLoss) bool {
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

// ranAlone tells whether one of the losses came while the request was the only one on the target and known as a suspect.
func lostWhileAlone(losses []suspectLoss) bool {
	return slices.ContainsFunc(losses, func(l suspectLoss) bool { return l.alone })
}

// differentTargets counts the targets lost.
func countTargets(losses []suspectLoss) int {
	targets := make(map[cassiaid.TargetName]struct{}, len(losses))
	for _, l := range losses {
		targets[l.target] = struct{}{}
	}
	return len(targets)
}
