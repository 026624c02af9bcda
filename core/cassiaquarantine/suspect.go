package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

// strike is one loss of a target that ran a request.
type strike struct {
	at     time.Time
	target cassiaid.TargetName
	shard  cassiaid.ShardIndex
	// alone is true when the request ran as a known suspect with nothing else on the target.
	alone bool
	// seen is true when this VM saw the loss itself.
	seen bool
	// others are the requests that ran on the target too.
	others []cassiaid.Fingerprint
}

// suspect is a request that ran on a target which was lost and that has not been cleared by an answer.
type suspect struct{ strikes []strike }

// lost tells whether a target was lost while it ran the request; it is false without a suspect.
func (s *suspect) lost(target cassiaid.TargetName) bool {
	return s != nil && slices.ContainsFunc(s.strikes, func(k strike) bool { return k.target == target })
}

// forget drops strikes from before a time.
func (s *suspect) forget(before time.Time) {
	s.strikes = slices.DeleteFunc(s.strikes, func(k strike) bool { return k.at.Before(before) })
}

// clear drops the strikes of a shard, whose target has answered the request.
func (s *suspect) clear(shard cassiaid.ShardIndex) {
	s.strikes = slices.DeleteFunc(s.strikes, func(k strike) bool { return k.shard == shard })
}

// of returns the strikes of one shard.
func (s *suspect) of(shard cassiaid.ShardIndex) []strike {
	var strikes []strike
	for _, k := range s.strikes {
		if k.shard == shard {
			strikes = append(strikes, k)
		}
	}
	return strikes
}

// seen returns the strikes that this VM saw itself.
func (s *suspect) seen() []strike {
	return slices.DeleteFunc(slices.Clone(s.strikes), func(k strike) bool { return !k.seen })
}

// onlyCommon tells whether no other request ran on every lost target.
func onlyCommon(strikes []strike) bool {
	if len(strikes) == 0 {
		return false
	}
	for _, other := range strikes[0].others {
		inAll := true
		for _, k := range strikes[1:] {
			inAll = inAll && slices.Contains(k.others, other)
		}
		if inAll {
			return false
		}
	}
	return true
}

// ranAlone tells whether one of the losses came while the request was the only one on the target and known as a suspect.
func ranAlone(strikes []strike) bool {
	return slices.ContainsFunc(strikes, func(k strike) bool { return k.alone })
}

// differentTargets counts the targets lost.
func differentTargets(strikes []strike) int {
	targets := make(map[cassiaid.TargetName]struct{}, len(strikes))
	for _, k := range strikes {
		targets[k.target] = struct{}{}
	}
	return len(targets)
}
