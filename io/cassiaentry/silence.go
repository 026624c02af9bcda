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
				e.doubt(owner, now)
				e.each(func(r *run) { r.post(cassiaplan.OwnerSilent{Owner: owner}) })
			}
		}
	}
}

// silence remembers by when each owner has to send something, and which owners are in doubt since they did not.
type silence struct {
	mutex    sync.Mutex
	expected map[cassiaid.VMName]owed
	doubted  map[cassiaid.VMName]bool
}

// owed is what an owner has to send.
type owed struct {
	by time.Time
	// again is true after the first time that it did not.
	again bool
}

// expect notes that an owner has to send something by a time, unless it already owes something earlier.
func (s *silence) expect(owner cassiaid.VMName, by time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expected == nil {
		s.expected = make(map[cassiaid.VMName]owed)
	}
	if _, owes := s.expected[owner]; !owes {
		s.expected[owner] = owed{by: by}
	}
}

// heard tells whether the owner was in doubt.
func (s *silence) heard(owner cassiaid.VMName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.expected, owner)
	doubted := s.doubted[owner]
	delete(s.doubted, owner)
	return doubted
}

func (s *silence) doubt(owner cassiaid.VMName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.doubted == nil {
		s.doubted = make(map[cassiaid.VMName]bool)
	}
	s.doubted[owner] = true
}

// overdue returns the owners that were to send something before now; each is returned twice, so that one sign is told
// from a lasting silence also when no further batch goes to the owner.
func (s *silence) overdue(now time.Time) []cassiaid.VMName {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var owners []cassiaid.VMName
	for owner, o := range s.expected {
		if !o.by.Before(now) {
			continue
		}
		owners = append(owners, owner)
		if o.again {
			delete(s.expected, owner)
		} else {
			s.expected[owner] = owed{by: now.Add(cassiaroute.OwnerPause), again: true}
		}
	}
	return owners
}
