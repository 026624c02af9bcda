package cassiafollow

import (
	"context"
	"sync"
	"time"
)

const (
	// maxJournalEvents and maxJournalBytes bound the changes that the journal keeps; a VM that needs older ones gets all
	// keys.
	maxJournalEvents = 2048
	maxJournalBytes  = 8 << 20
	// maxStoreSilence is how long after the last contact with the store the journal still reports that nothing has
	// changed. After that, Await returns JournalStale and the VMs that rely on the journal ask the store themselves.
	// The two times together stay below the time within which a configuration has to be in force on all VMs.
	maxStoreSilence = 1800 * time.Millisecond
)

// JournalStatus tells what Journal.Await returned.
type JournalStatus int

const (
	// JournalStale means that the journal may be behind the store; no events are returned.
	JournalStale JournalStatus = iota
	// JournalAllKeys means that the journal no longer has all changes after the revision; the events are the current values
	// of all keys.
	JournalAllKeys
	// JournalChanges means that the events are all changes after the revision.
	JournalChanges
)

// Journal keeps the recent changes and the current value of each key, to answer VMs that do not watch the store themselves.
// The zero value is empty and reports JournalStale. It is safe for concurrent use.
type Journal struct {
	mutex sync.Mutex
	era   Era
	// events holds all changes whose revision r satisfies from < r <= to.
	from, to Revision
	events   []Event
	bytes    int
	// latest is the last event of each key that exists.
	latest    map[string]Event
	storeLost bool
	// lastStoreContact is when the store itself last confirmed that the journal is complete.
	lastStoreContact time.Time
	// changed is closed at the next change; nil when nobody waits.
	changed chan struct{}
}

// Reset replaces the contents with all keys at a position; fromStore tells whether they came from the store itself.
func (j *Journal) Reset(keys []Event, at Position, fromStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.era, j.from, j.to, j.events, j.bytes = at.Era, at.Revision, at.Revision, nil, 0
	j.latest = make(map[string]Event, len(keys))
	for _, e := range keys {
		j.latest[e.Key] = e
	}
	if fromStore {
		j.lastStoreContact = time.Now()
	}
	j.notify()
}

// setLatest updates the current value of the event's key.
func (j *Journal) setLatest(e Event) {
	if e.Removed {
		delete(j.latest, e.Key)
	} else {
		j.latest[e.Key] = e
	}
}

// Append adds the events up to a revision of the same era. Only a result of the store itself, for which fromStore is true, counts as contact
// with the store: otherwise two VMs that ask each other would confirm each other's journal forever.
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

// SetStoreLost records whether calls to the store fail; while they do, Await returns JournalStale.
func (j *Journal) SetStoreLost(lost bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.storeLost != lost {
		j.storeLost = lost
		j.notify()
	}
}

// Await waits until there are changes after a position, the journal is stale or ctx is done. It returns the changes or all
// keys, and the position from which to wait next.
func (j *Journal) Await(ctx context.Context, after Position) (events []Event, to Position, status JournalStatus) {
	for {
		j.mutex.Lock()
		if status := j.status(after); status != JournalChanges || j.to > after.Revision || ctx.Err() != nil {
			defer j.mutex.Unlock()
			to := Position{Era: j.era, Revision: j.to}
			if status == JournalChanges {
				to = after.advance(to)
			}
			return j.since(after.Revision, status), to, status
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

// status reports whether the journal is current and has all changes after a position.
func (j *Journal) status(after Position) JournalStatus {
	switch {
	case j.storeLost || j.to == 0 || after.Era > j.era || time.Since(j.lastStoreContact) > maxStoreSilence:
		return JournalStale
	case after.Era < j.era || after.Revision < j.from:
		return JournalAllKeys
	default:
		return JournalChanges
	}
}

// since returns the events that Await returns with a status.
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

// notify wakes all calls of Await.
func (j *Journal) notify() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
