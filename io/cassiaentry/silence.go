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
	// silenceGrace is added to the time at which an owner has to send its first results.
	silenceGrace = 100 * time.Millisecond
	// silenceInterval is how often owners are checked for silence.
	silenceInterval = 50 * time.Millisecond
)

// WatchSilence marks owners that send nothing when they have to as unreachable, until ctx ends.
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

// silenceTracker remembers by when each owner has to send something, and which owners are in doubt since they did not.
type silenceTracker struct {
	mutex       sync.Mutex
	expected    map[cassiaid.VMName]expectedReply
	unreachable map[cassiaid.VMName]bool
}

// expectedReply is what an owner has to send.
type expectedReply struct {
	by time.Time
	// reported is true after the first time that it did not.
	reported bool
}

// expectReply notes that an owner has to send something by a time, unless it already owes something earlier.
func (s *silenceTracker) expectReply(owner cassiaid.VMName, by time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expected == nil {
		s.expected = make(map[cassiaid.VMName]expectedReply)
	}
	if _, owes := s.expected[owner]; !owes {
		s.expected[owner] = expectedReply{by: by}
	}
}

// recordReply tells whether the owner was in doubt.
func (s *silenceTracker) recordReply(owner cassiaid.VMName) bool {
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

// overdue returns the owners that were to send something before now; each is returned twice, so that one sign is told
// from a lasting silence also when no further batch goes to the owner.
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
			s.expected[owner] = expectedReply{by: now.Add(cassiaroute.OwnerPause), reported: true}
		}
	}
	return owners
}
