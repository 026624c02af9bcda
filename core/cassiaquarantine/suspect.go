package cassiaquarantine

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

// suspectLoss is the loss of a target that ran the request of a suspect.
type suspectLoss struct {
	// number is that of the recordedLoss.
	number int
	at     time.Time
	target cassiaid.TargetName
	shard  cassiaid.ShardIndex
	// alone is true when the request was already a suspect, so that no VM ran it elsewhere at that time.
	alone bool
	// reporter is the VM that observed the loss; empty for this VM.
	reporter cassiaid.VMName
	// callers are the callers' fingerprints of the runs; they differ only if the suspect is a content.
	callers []cassiaid.Fingerprint
	// others are the other requests that ran on the target and have not been answered since.
	others []cassiaid.Fingerprint
}

// sameCrash reports whether another VM's report of a loss is about the same crash. A VM reports each crash once.
func (l suspectLoss) sameCrash(target cassiaid.TargetName, reporter cassiaid.VMName, at time.Time) bool {
	return l.target == target && l.reporter != reporter && at.Sub(l.at).Abs() <= sameCrashWindow
}

// addCompanion records that a request other than f, whose loss this is, ran on the target.
func (l *suspectLoss) addCompanion(f, other cassiaid.Fingerprint) {
	if other != f && !slices.Contains(l.others, other) {
		l.others = append(l.others, other)
	}
}

// addCompanions records that runs of other requests ran on the target. f is the fingerprint of the suspect, content that of its
// content; runs with the same content are companions of a caller's request but not of the content itself.
func (l *suspectLoss) addCompanions(f, content cassiaid.Fingerprint, runs []Run) {
	for _, r := range runs {
		sameContent := r.Content != 0 && r.Content == content
		if sameContent && f == content {
			continue
		}
		l.addCompanion(f, r.Fingerprint)
		if r.Content != 0 && !sameContent {
			l.addCompanion(f, r.Content)
		}
	}
}

// suspect is a request that ran on a lost target and that no answer has cleared since.
type suspect struct {
	fingerprint cassiaid.Fingerprint
	// content is the fingerprint of the request's content, which may be fingerprint itself; zero if it has none of its own.
	content cassiaid.Fingerprint
	losses  []suspectLoss
}

// isContent reports whether the suspect is a content, whoever sends it.
func (s *suspect) isContent() bool { return s.fingerprint == s.content }

// addLoss records a loss of the suspect, once for all the runs of a part that it had on the target.
func (s *suspect) addLoss(loss suspectLoss, caller cassiaid.Fingerprint) {
	for i := range s.losses {
		l := &s.losses[i]
		if l.number == loss.number && l.shard == loss.shard {
			l.callers = append(l.callers, caller)
			l.alone = l.alone && loss.alone
			return
		}
	}
	loss.callers = []cassiaid.Fingerprint{caller}
	s.losses = append(s.losses, loss)
}

// severalCallers reports whether losses occurred under more than one caller's request.
func severalCallers(losses []suspectLoss) bool {
	for _, l := range losses {
		for _, caller := range l.callers {
			if caller != losses[0].callers[0] {
				return true
			}
		}
	}
	return false
}

// involves reports whether a target was lost while it ran the request. It is false for a nil suspect.
func (s *suspect) involves(target cassiaid.TargetName) bool {
	return s != nil && slices.ContainsFunc(s.losses, func(l suspectLoss) bool { return l.target == target })
}

// involvesAll reports whether each of the targets was lost while it ran the request.
func (s *suspect) involvesAll(targets []cassiaid.TargetName) bool {
	return !slices.ContainsFunc(targets, func(target cassiaid.TargetName) bool { return !s.involves(target) })
}

// hasLoss reports whether a recorded loss counts against the suspect. It is false for a nil suspect.
func (s *suspect) hasLoss(recorded recordedLoss) bool {
	return s != nil && slices.ContainsFunc(s.losses, func(l suspectLoss) bool { return l.number == recorded.number })
}

// addCompanions records the runs of a loss for which the suspect has an earlier report by another VM. It does nothing for a nil
// suspect.
func (s *suspect) addCompanions(now time.Time, loss Loss) {
	if s == nil {
		return
	}
	for i := range s.losses {
		l := &s.losses[i]
		if !l.sameCrash(loss.Target, loss.Reporter, now) {
			continue
		}
		l.addCompanions(s.fingerprint, s.content, loss.Runs)
	}
}

// exonerate removes an answered request from the companions of the losses and reports whether it was one.
func (s *suspect) exonerate(f cassiaid.Fingerprint) bool {
	found := false
	for i := range s.losses {
		l := &s.losses[i]
		if at := slices.Index(l.others, f); at >= 0 {
			l.others = slices.Delete(l.others, at, at+1)
			found = true
		}
	}
	return found
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
	return slices.DeleteFunc(slices.Clone(s.losses), func(l suspectLoss) bool { return l.reporter != "" })
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

// provenByRunsAlone reports whether the request's runs as a suspect show that it causes the losses, even if it was answered
// before: on one of the targets nothing else ran, or it lost at least two targets that way.
func provenByRunsAlone(losses []suspectLoss) bool {
	var alone []suspectLoss
	for _, l := range losses {
		if l.alone && len(l.others) == 0 {
			return true
		}
		if l.alone {
			alone = append(alone, l)
		}
	}
	return countCrashes(alone) > 1
}

// countCrashes returns the number of crashes among the losses, which are in order of time. Several VMs may have reported one
// crash.
func countCrashes(losses []suspectLoss) int {
	crashes := 0
	for i, l := range losses {
		reported := slices.ContainsFunc(losses[:i], func(earlier suspectLoss) bool {
			return earlier.sameCrash(l.target, l.reporter, l.at)
		})
		if !reported {
			crashes++
		}
	}
	return crashes
}
