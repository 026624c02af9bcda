package cassiafollow

import (
	"context"
	"sync"
	"time"
)

const (
	// maxJournalEvents and journalBytes bound what is kept of the changes of late; a VM that needs older ones lists everything.
	maxJournalEvents = 2048
	maxJournalBytes  = 8 << 20
	// maxStoreSilence is how long after the last word of the store the journal still tells that there is no news. With what a VM
	// takes to ask the store itself, it stays below the time in which a configuration has to be in force everywhere.
	maxStoreSilence = 1800 * time.Millisecond
)

// JournalStatus is what a journal can tell.
type JournalStatus int

const (
	// JournalStale means that the journal may be behind the store.
	JournalStale JournalStatus = iota
	// JournalAllKeys means that the journal has not kept all changes after the revision, and gives all keys instead.
	JournalAllKeys
	// JournalChanges means that the journal has all changes.
	JournalChanges
)

// Journal keeps the changes of late for VMs that do not watch the store themselves; the zero value is empty.
type Journal struct {
	mutex sync.Mutex
	// from is the revision after which all events are kept, to the one up to which.
	from, to Revision
	events   []Event
	bytes    int
	// latest are all keys as they were last written.
	latest    map[string]Event
	storeLost bool
	// lastStoreContact is when the store last told that these are all changes.
	lastStoreContact time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// Reset replaces what is kept by all keys at a revision.
func (j *Journal) Reset(keys []Event, at Revision, fromStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.from, j.to, j.events, j.bytes = at, at, nil, 0
	j.latest = make(map[string]Event, len(keys))
	for _, e := range keys {
		j.latest[e.Key] = e
	}
	if fromStore {
		j.lastStoreContact = time.Now()
	}
	j.notify()
}

// setLatest holds a key as it was last written.
func (j *Journal) setLatest(e Event) {
	if e.Removed {
		delete(j.latest, e.Key)
	} else {
		j.latest[e.Key] = e
	}
}

// Append adds the events up to a revision. Only what the store itself told counts as its word: VMs that pass on what they
// heard from each other would else believe each other for ever.
func (j *Journal) Append(events []Event, to Revision, fromStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if fromStore {
		j.lastStoreContact = time.Now()
	}
	for _, e := range events {
		j.setLatest(e)
		j.events = append(j.events, e)
		j.bytes += len(e.Value)
	}
	for len(j.events) > maxJournalEvents || j.bytes > maxJournalBytes {
		j.from = j.events[0].Revision
		j.bytes -= len(j.events[0].Value)
		j.events = j.events[1:]
	}
	if to > j.to {
		j.to = to
		j.notify()
	}
}

// SetStoreLost notes whether the journal has lost touch with the store.
func (j *Journal) SetStoreLost(lost bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.storeLost != lost {
		j.storeLost = lost
		j.notify()
	}
}

// Await waits until there are events after a revision or ctx is done, and returns them or all keys.
func (j *Journal) Await(ctx context.Context, after Revision) (events []Event, to Revision, status JournalStatus) {
	for {
		j.mutex.Lock()
		if status := j.status(after); status != JournalChanges || j.to > after || ctx.Err() != nil {
			defer j.mutex.Unlock()
			return j.since(after, status), max(after, j.to), status
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

// status tells whether all changes after a revision are kept.
func (j *Journal) status(after Revision) JournalStatus {
	switch {
	case j.storeLost || j.to == 0 || time.Since(j.lastStoreContact) > maxStoreSilence:
		return JournalStale
	case after < j.from:
		return JournalAllKeys
	default:
		return JournalChanges
	}
}

func (j *Journal) since(after Revision, status JournalStatus) []Event {
	var events []Event
	switch status {
	case JournalChanges:
		for _, e := range j.events {
			if e.Revision > after {
				events = append(events, e)
			}
		}
	case JournalAllKeys:
		for _, e := range j.latest {
			events = append(events, e)
		}
	}
	return events
}

func (j *Journal) notify() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
