package cassiafollow

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiasaddle/core/cassiaclock"
)

const (
	// maxRemovedKeys bounds the removed keys that the journal remembers; a VM that needs older ones gets all keys.
	maxRemovedKeys = 4096
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
	// JournalChanges means that the events are the last changes of all keys that changed after the revision.
	JournalChanges
)

// Journal keeps the last change of each key, to answer VMs that do not watch the store themselves. Changes that later ones have replaced are
// not kept, since VMs need only the current values. The zero value is empty and reports JournalStale. It is safe for concurrent use.
type Journal struct {
	mutex sync.Mutex
	era   Era
	// The journal has the last change of each key that changed after from, and reaches up to to.
	from, to Revision
	// latest holds the last event of each key, removed holds the keys among them that no longer exist.
	latest  map[string]Event
	removed map[string]bool
	// ordered holds the events of latest by revision; nil when it has to be made again.
	ordered   []Event
	storeLost bool
	// lastStoreContact is when the store itself last confirmed that the journal is complete.
	lastStoreContact time.Time
	// asOf is the time as of which the journal is known to be complete, whether the store or another VM has told; 0 if it is not known.
	asOf cassiaclock.BootTime
	// changed is closed at the next change; nil when nobody waits.
	changed chan struct{}
}

// Reset takes over all keys at a position; fromStore tells whether they came from the store itself. VMs that ask for what came after an
// earlier position of the same era still get only the changes.
func (j *Journal) Reset(keys []Event, at Position, fromStore bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.to == 0 || j.era != at.Era {
		j.era, j.from, j.to = at.Era, at.Revision, at.Revision
		j.latest, j.removed, j.ordered = make(map[string]Event, len(keys)), make(map[string]bool), nil
	}
	listed := make(map[string]bool, len(keys))
	for _, e := range keys {
		listed[e.Key] = true
		j.record(e)
	}
	for key, e := range j.latest {
		if !listed[key] && !e.Removed && e.Revision <= at.Revision {
			j.record(Event{Key: key, Revision: at.Revision, Removed: true})
		}
	}
	j.dropOldRemovals()
	if fromStore {
		j.lastStoreContact = time.Now()
	}
	j.to = max(j.to, at.Revision)
	j.notify()
}

// record keeps an event unless a later one of its key is known.
func (j *Journal) record(e Event) {
	if known, ok := j.latest[e.Key]; ok && known.Revision > e.Revision {
		return
	}
	if j.latest == nil {
		j.latest, j.removed = make(map[string]Event), make(map[string]bool)
	}
	j.latest[e.Key] = e
	j.ordered = nil
	if e.Removed {
		j.removed[e.Key] = true
	} else {
		delete(j.removed, e.Key)
	}
}

// dropOldRemovals forgets the removed keys beyond maxRemovedKeys, the oldest first.
func (j *Journal) dropOldRemovals() {
	if len(j.removed) <= maxRemovedKeys {
		return
	}
	for _, e := range j.byRevision() {
		if !e.Removed {
			continue
		}
		delete(j.latest, e.Key)
		delete(j.removed, e.Key)
		j.from = max(j.from, e.Revision)
		// Many are dropped at once, since the order has to be made again after that.
		if len(j.removed) <= maxRemovedKeys/2 {
			break
		}
	}
	j.ordered = nil
}

// byRevision returns the last events of all keys, ordered by revision.
func (j *Journal) byRevision() []Event {
	if j.ordered == nil {
		j.ordered = slices.SortedFunc(maps.Values(j.latest), func(a, b Event) int {
			return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
		})
	}
	return j.ordered
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
		j.record(e)
	}
	j.dropOldRemovals()
	if to > j.to {
		j.to = to
		j.notify()
	}
}

// Confirm records that the journal has all changes that were made before a time.
func (j *Journal) Confirm(asOf cassiaclock.BootTime) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.asOf = max(j.asOf, asOf)
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
// keys, the position from which to wait next, and the time as of which these are complete.
func (j *Journal) Await(ctx context.Context, after Position) (events []Event, to Position, status JournalStatus, asOf cassiaclock.BootTime) {
	for {
		j.mutex.Lock()
		if status := j.status(after); status != JournalChanges || j.to > after.Revision || ctx.Err() != nil {
			defer j.mutex.Unlock()
			to := Position{Era: j.era, Revision: j.to}
			if status == JournalChanges {
				to = after.advance(to)
			}
			return j.since(after.Revision, status), to, status, j.asOf
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

// since returns the events that Await returns with a status, ordered by revision. The caller must not change them.
func (j *Journal) since(after Revision, status JournalStatus) []Event {
	switch status {
	case JournalChanges:
		ordered := j.byRevision()
		first, _ := slices.BinarySearchFunc(ordered, after+1, func(e Event, r Revision) int { return cmp.Compare(e.Revision, r) })
		return ordered[first:]
	case JournalAllKeys:
		return slices.DeleteFunc(slices.Clone(j.byRevision()), func(e Event) bool { return e.Removed })
	default:
		return nil
	}
}

// notify wakes all calls of Await.
func (j *Journal) notify() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
