package cassiaentry

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaroute"
)

const (
	// silenceGrace is how long after its flush time an owner's first reply may arrive before the owner counts as
	// silent.
	silenceGrace = 100 * time.Millisecond
	// silenceInterval is how often the entry checks for overdue replies.
	silenceInterval = 50 * time.Millisecond
)

// WatchSilence reports owners with overdue replies to the routing table and to the runs until ctx ends. It returns nil.
func (e *Entry) WatchSilence(ctx context.Context) error {
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := e.config.Clock.Now()
			for _, owner := range e.silence.overdue(now) {
				e.count("ownerSilent")
				e.markUnreachable(owner, now)
				e.forEachRun(func(r *run) { r.post(cassiaplan.OwnerSilent{Owner: owner}) })
			}
		}
	}
}

// silenceTracker holds the time by which each owner has to reply, and the owners marked unreachable since their last
// reply. It is safe for concurrent use; its zero value is empty.
type silenceTracker struct {
	mutex       sync.Mutex
	expected    map[cassiaid.VMName]expectedReply
	unreachable map[cassiaid.VMName]bool
}

// expectedReply is the reply that an owner has to send next.
type expectedReply struct {
	by time.Time
	// reported is true once the reply was reported as overdue.
	reported bool
}

// expectReply records that an owner has to reply by a time, unless a reply is expected from it already.
func (s *silenceTracker) expectReply(owner cassiaid.VMName, by time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expected == nil {
		s.expected = make(map[cassiaid.VMName]expectedReply)
	}
	if _, pending := s.expected[owner]; !pending {
		s.expected[owner] = expectedReply{by: by}
	}
}

// clear removes the state of an owner and reports whether it was marked unreachable.
func (s *silenceTracker) clear(owner cassiaid.VMName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.expected, owner)
	wasUnreachable := s.unreachable[owner]
	delete(s.unreachable, owner)
	return wasUnreachable
}

func (s *silenceTracker) markUnreachable(owner cassiaid.VMName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unreachable == nil {
		s.unreachable = make(map[cassiaid.VMName]bool)
	}
	s.unreachable[owner] = true
}

// overdue returns the owners whose replies were due before now. Each overdue reply is returned twice, the second time
// at least cassiaroute.OwnerUnreachableAfter later: the routing table needs two reports to distinguish a short pause
// from an unreachable owner, even if no further batch is sent to the owner.
func (s *silenceTracker) overdue(now time.Time) []cassiaid.VMName {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var owners []cassiaid.VMName
	for owner, o := range s.expected {
		if !o.by.Before(now) {
			continue
		}
		owners = append(owners, owner)
		if o.reported {
			delete(s.expected, owner)
		} else {
			s.expected[owner] = expectedReply{by: now.Add(cassiaroute.OwnerUnreachableAfter), reported: true}
		}
	}
	return owners
}
