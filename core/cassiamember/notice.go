package cassiamember

import (
	"cmp"
	"slices"
	"time"
)

// maxNotices bounds the notices in a noticeTable.
const maxNotices = 1024

// notice states until its expiry that a fingerprint is quarantined, or that a target is leaving or has come back.
type notice[K cmp.Ordered] struct {
	key K
	// active is false for a target that has come back.
	active bool
	expiry time.Time
	// originMillis is the Unix time of the first announcement; a later one about the same key replaces this notice.
	originMillis int64
}

// noticeTable holds notices that expire, sorted by key.
type noticeTable[K cmp.Ordered] struct {
	notices []notice[K]
	// lastIndex is the index of the notice that advance returned last.
	lastIndex int
}

func (t *noticeTable[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(t.notices, key, func(n notice[K], key K) int { return cmp.Compare(n.key, key) })
}

// get returns the notice of a key, or the zero notice.
func (t *noticeTable[K]) get(key K) notice[K] {
	if at, ok := t.find(key); ok {
		return t.notices[at]
	}
	return notice[K]{}
}

// set stores a notice unless the table holds one about its key that is as new, or has no space for another key. It
// returns whether the notice was stored, and whether the table was full.
func (t *noticeTable[K]) set(n notice[K]) (stored, full bool) {
	at, ok := t.find(n.key)
	switch {
	case ok && t.notices[at].originMillis >= n.originMillis:
		return false, false
	case ok:
		t.notices[at] = n
	case len(t.notices) >= maxNotices:
		return false, true
	default:
		t.notices = slices.Insert(t.notices, at, n)
	}
	return true, false
}

// expire removes the notices that have expired.
func (t *noticeTable[K]) expire(now time.Time) {
	t.notices = slices.DeleteFunc(t.notices, func(n notice[K]) bool { return !now.Before(n.expiry) })
}

// advance returns the next notice, starting over after the last one, or false when there are none.
func (t *noticeTable[K]) advance() (notice[K], bool) {
	if len(t.notices) == 0 {
		return notice[K]{}, false
	}
	t.lastIndex = (t.lastIndex + 1) % len(t.notices)
	return t.notices[t.lastIndex], true
}
