package cassiaplatform

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Entry is a key's value and the revision of its last write.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	lease    string
}

// lease keeps the keys written under it until it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the key-value state. Its revision goes up by 1 with each write, each deletion and each key that is removed
// with its lease.
type store struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	revision uint64
	entries  map[string]Entry
	leases   map[string]lease
	leaseSeq uint64
	changed  chan struct{}
}

func newStore(clock clockwork.Clock) *store {
	return &store{
		clock:   clock,
		entries: map[string]Entry{},
		leases:  map[string]lease{},
		changed: make(chan struct{}),
	}
}

// get returns a key's entry, with revision 0 if the key does not exist.
func (s *store) get(key string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.entries[key]
}

// getAndWatch returns a key's entry and a channel that is closed at the next change of any key or of the faults.
func (s *store) getAndWatch(key string) (Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.entries[key], s.changed
}

// put writes a key if cond holds and the lease, unless empty, exists. It returns the key's revision after the call and
// whether the key was written.
func (s *store) put(key string, value []byte, cond condition, leaseID string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	current := s.entries[key].Revision
	if !cond.holds(current) {
		return current, false
	}
	if _, exists := s.leases[leaseID]; leaseID != "" && !exists {
		return current, false
	}
	s.revision++
	s.entries[key] = Entry{Key: key, Value: value, Revision: s.revision, lease: leaseID}
	s.wakeWatchesLocked()
	return s.revision, true
}

// remove deletes a key if cond holds. It returns the key's revision before the call and whether cond held.
func (s *store) remove(key string, cond condition) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	current := s.entries[key].Revision
	if !cond.holds(current) {
		return current, false
	}
	s.revision++
	delete(s.entries, key)
	s.wakeWatchesLocked()
	return current, true
}

// grant creates a lease and returns its ID.
func (s *store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseSeq++
	id := "lease-" + strconv.FormatUint(s.leaseSeq, 10)
	s.leases[id] = lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return id
}

// keepAlive extends a lease by its TTL from now; it returns false if the lease has expired.
func (s *store) keepAlive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, exists := s.leases[id]
	if !exists {
		return false
	}
	l.expires = s.clock.Now().Add(l.ttl)
	s.leases[id] = l
	return true
}

// wakeWatches wakes all watches without a write, so that they check for the Down fault.
func (s *store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWatchesLocked()
}

// expireLeases removes expired leases and their keys; the caller holds s.mu.
func (s *store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id {
				s.revision++
				delete(s.entries, key)
			}
		}
		s.wakeWatchesLocked()
	}
}

// wakeWatchesLocked wakes all watches; the caller holds s.mu.
func (s *store) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// condition is the revision that a key must have for a write to apply; the zero value accepts any revision.
type condition struct {
	set      bool
	revision uint64
}

func (c condition) holds(current uint64) bool { return !c.set || c.revision == current }
