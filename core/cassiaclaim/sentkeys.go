package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiarecent"
)

// SentKeys records the keys of requests that left a VM. A key is kept for at least MaxRetention, or for less if so many
// keys come that the set is full.
type SentKeys struct{ keys cassiarecent.Set[string] }

// Add records a key.
func (s *SentKeys) Add(now time.Time, key Key) { s.keys.Add(now, MaxRetention, key.Scoped) }

// Has reports whether the key with the given Key.Scoped is recorded.
func (s *SentKeys) Has(now time.Time, scoped string) bool {
	return s.keys.Has(now, MaxRetention, scoped)
}
