package cassiafollow

import (
	"context"
	"sync"
	"time"
)

const (
	// journalEvents and journalBytes bound what is kept of the changes of late; a VM that needs older ones lists everything.
	journalEvents = 2048
	journalBytes  = 8 << 20
	// journalTrust is how long after the last word of the store the journal still tells that there is no news. With what a VM
	// takes to ask the store itself, it stays below the time in which a configuration has to be in force everywhere.
	journalTrust = 1800 * time.Millisecond
)

// Verdict is what a journal can tell.
type Verdict int

const (
	// JournalLost means that the journal may be behind the store.
	JournalLost Verdict = iota
	// JournalWhole means that the journal has not kept all changes after the revision, and gives all keys instead.
	JournalWhole
	// JournalKnows means that the journal has all changes.
	JournalKnows
)

// Journal keeps the changes of late for VMs that do not watch the store themselves; the zero value is empty.
type Journal struct {
	mutex sync.Mutex
	// from is the revision after which all events are kept, to the one up to which.
	from, to Revision
	events   []Event
	bytes    int
	// items are all keys as they were last written.
	items map[string]Event
	lost  bool
	// heard is when the store last told that these are all changes.
	heard time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// Reset replaces what is kept by all keys at a revision.
func (j *Journal) Reset(keys []Event, at Revision, byStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.from, j.to, j.events, j.bytes = at, at, nil, 0
	j.items = make(map[string]Event, len(keys))
	for _, e := range keys {
		j.items[e.Key] = e
	}
	if byStore {
		j.heard = time.Now()
	}
	j.wake()
}

// keep holds a key as it was last written.
func (j *Journal) keep(e Event) {
	if e.Removed {
		delete(j.items, e.Key)
	} else {
		j.items[e.Key] = e
	}
}

// Append adds the events up to a revision. Only what the store itself told counts as its word: VMs that pass on what they
// heard from each other would else believe each other for ever.
func (j *Journal) Append(events []Event, to Revision, byStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if byStore {
		j.heard = time.Now()
	}
	for _, e := range events {
		j.keep(e)
		j.events = append(j.events, e)
		j.bytes += len(e.Value)
	}
	for len(j.events) > journalEvents || j.bytes > journalBytes {
		j.from = j.events[0].Revision
		j.bytes -= len(j.events[0].Value)
		j.events = j.events[1:]
	}
	if to > j.to {
		j.to = to
		j.wake()
	}
}

// SetLost notes whether the journal has lost touch with the store.
func (j *Journal) SetLost(lost bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.lost != lost {
		j.lost = lost
		j.wake()
	}
}

// Await waits until there are events after a revision or ctx is done, and returns them or all keys.
func (j *Journal) Await(ctx context.Context, after Revision) (events []Event, to Revision, verdict Verdict) {
	for {
		j.mutex.Lock()
		if verdict := j.verdict(after); verdict != JournalKnows || j.to > after || ctx.Err() != nil {
			defer j.mutex.Unlock()
			return j.since(after, verdict), max(after, j.to), verdict
		}
		if j.changed == nil {
			j.changed = make(chan struct{})
		}
		changed := j.changed
		j.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// verdict tells whether all changes after a revision are kept.
func (j *Journal) verdict(after Revision) Verdict {
	switch {
	case j.lost || j.to == 0 || time.Since(j.heard) > journalTrust:
		return JournalLost
	case after < j.from:
		return JournalWhole
	default:
		return JournalKnows
	}
}

func (j *Journal) since(after Revision, verdict Verdict) []Event {
	var events []Event
	switch verdict {
	case JournalKnows:
		for _, e := range j.events {
			if e.Revision > after {
				events = append(events, e)
			}
		}
	case JournalWhole:
		for _, e := range j.items {
			events = append(events, e)
		}
	}
	return events
}

func (j *Journal) wake() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
