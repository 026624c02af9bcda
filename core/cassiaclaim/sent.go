package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiarecent"
)

// Sent remembers the keys of requests that left a VM, for at least MaxRetention unless very many come.
type Sent struct{ keys cassiarecent.Set[string] }

// Add remembers a key.
func (s *Sent) Add(now time.Time, key Key) { s.keys.Add(now, MaxRetention, key.Scoped) }

// Has tells whether a key is remembered.
func (s *Sent) Has(now time.Time, scoped string) bool { return s.keys.Has(now, MaxRetention, scoped) }
