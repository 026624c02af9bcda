package cassiaquota

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
)

const (
	// knowledgeLimit is how old the list of VMs may be by which a VM coordinates. Knowledge that comes by way of another VM is up to 2.3 s
	// old while all works, and a second or two older after a large change of the configuration. A new coordinator waits this long, until
	// an earlier one that does not know of it has stopped.
	knowledgeLimit = 4500 * time.Millisecond
	// knowledgeGap is the longest step between two confirmations in which a change of the coordinator and back can go unnoticed. A new
	// coordinator must be known to be on the list for as long before it starts, so that no unnoticed one has started. Watches confirm the
	// store every 1 to 1.2 s while all works, and up to two of them pass between the replies of a watcher.
	knowledgeGap = 2500 * time.Millisecond
	// reserveKnowledgeLimit is how old the list of VMs may be by which a VM uses the reserve, for outages of the store.
	reserveKnowledgeLimit = 30 * time.Second
)

// Standing tells which parts of quotas this VM coordinates, by the list of VMs and how old the knowledge of it is. All times are of the
// clock of this VM.
type Standing struct {
	self cassiaid.VMName
	// reserveTenure is how long this VM must have been among those that may use the reserve.
	reserveTenure time.Duration
	assignment    *assignment
	// asOf is the time as of which the list is known; 0 if it is not.
	asOf cassiaclock.BootTime
	// unconfirmed is true if a list came since the last confirmation.
	unconfirmed bool
	// announced is true once this process may have put this VM on the list.
	announced bool
	// since holds when this VM learned that it coordinates a part; 0 if it does not. reserveSince holds since when its rank among the VMs
	// that may use the reserve is at most the index.
	since        [slots][maxParts]cassiaclock.BootTime
	reserveSince [slots][maxReserve]cassiaclock.BootTime
}

// NewStanding returns the standing of a VM that knows no list of VMs.
func NewStanding(self cassiaid.VMName, settings Settings) *Standing {
	return &Standing{self: self, reserveTenure: settings.window() + queueAllowance + reserveKnowledgeLimit}
}

// List replaces the list of VMs, and returns for how many parts of slots the coordinator changed.
func (s *Standing) List(now cassiaclock.BootTime, vms []VM) (changes int) {
	previous := s.assignment
	s.assignment, s.unconfirmed = assign(vms), true
	since := now
	if previous == nil && !s.announced {
		// This VM is on the list by an earlier process, so no other VM has taken its place. Its bucket is empty: what the earlier process
		// granted accrued before.
		since = now.Add(-knowledgeLimit)
	}
	for slot := range slots {
		for part, vm := range s.assignment.coordinators[slot] {
			if previous != nil && previous.coordinators[slot][part] != vm {
				changes++
			}
			setSince(&s.since[slot][part], vm == s.self, since)
		}
		rank := slices.Index(s.assignment.reserve[slot], s.self)
		for i := range maxReserve {
			setSince(&s.reserveSince[slot][i], rank >= 0 && rank <= i, now)
		}
	}
	return changes
}

// Announced records that this process is about to put this VM on the list. Lists that come before show whether an earlier process of the VM is
// still on it.
func (s *Standing) Announced() { s.announced = true }

func setSince(since *cassiaclock.BootTime, holds bool, now cassiaclock.BootTime) {
	switch {
	case !holds:
		*since = 0
	case *since == 0:
		*since = now
	}
}

// Confirm records that the last list is known as of a time. If a list came after a gap, it may hide that another VM was the coordinator
// meanwhile, so this VM begins anew. Without a list nothing changed, and it goes on.
func (s *Standing) Confirm(now, asOf cassiaclock.BootTime) {
	if asOf <= s.asOf {
		return
	}
	gap := asOf.Sub(s.asOf)
	if s.unconfirmed && s.asOf != 0 {
		for slot := range slots {
			if gap > knowledgeGap {
				restart(s.since[slot][:], now)
			}
			if gap > reserveKnowledgeLimit {
				restart(s.reserveSince[slot][:], now)
			}
		}
	}
	s.asOf, s.unconfirmed = asOf, false
}

func restart(since []cassiaclock.BootTime, now cassiaclock.BootTime) {
	for i := range since {
		if since[i] != 0 {
			since[i] = now
		}
	}
}

// coordinates reports whether this VM coordinates a part of a slot now, and since when it is known that it does.
func (s *Standing) coordinates(now cassiaclock.BootTime, slot, part int) (since cassiaclock.BootTime, ok bool) {
	since = s.since[slot][part]
	return since, since != 0 && s.asOf != 0 && now.Sub(s.asOf) <= knowledgeLimit && now.Sub(since) >= knowledgeLimit &&
		s.asOf.Sub(since) >= knowledgeGap
}

// Coordinated returns the number of parts of slots that this VM coordinates now.
func (s *Standing) Coordinated(now cassiaclock.BootTime) int {
	n := 0
	for slot := range slots {
		for part := range maxParts {
			if _, ok := s.coordinates(now, slot, part); ok {
				n++
			}
		}
	}
	return n
}

// holdsReserve reports whether this VM is among the first VMs of a slot, as many as the reserve has requests. At the time as of which the
// least current of them knows the list, all that use the reserve within a window were among the first ones.
func (s *Standing) holdsReserve(now cassiaclock.BootTime, slot, reserve int) bool {
	if reserve <= 0 {
		return false
	}
	since := s.reserveSince[slot][min(reserve, maxReserve)-1]
	return since != 0 && s.asOf != 0 && now.Sub(s.asOf) <= reserveKnowledgeLimit && now.Sub(since) >= s.reserveTenure
}

// Candidates returns the VMs that may coordinate a part of any quota.
func (s *Standing) Candidates() []cassiaid.VMName {
	if s.assignment == nil {
		return nil
	}
	return s.assignment.candidates
}

// coordinatorsOf returns the coordinators of the parts of a team's quota.
func (s *Standing) coordinatorsOf(team cassiaid.TeamName, parts int) []cassiaid.VMName {
	if len(s.Candidates()) == 0 {
		return nil
	}
	return s.assignment.coordinators[slotOf(team)][:parts]
}
