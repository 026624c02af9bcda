package cassiamember

import (
	"cmp"
	"slices"
	"time"
)

// maxNotices bounds the entries of a board.
const maxNotices = 1024

// notice is one entry of a board.
type notice[K cmp.Ordered] struct {
	key          K
	active       bool
	expiry       time.Time
	originMillis int64
}

// noticeTable holds news that lapses by itself, in the order of its keys.
type noticeTable[K cmp.Ordered] struct {
	notices []notice[K]
	cursor  int
}

func (t *noticeTable[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(t.notices, key, func(n notice[K], key K) int { return cmp.Compare(n.key, key) })
}

// get returns the entry of a key, or a zero one.
func (t *noticeTable[K]) get(key K) notice[K] {
	if at, ok := t.find(key); ok {
		return t.notices[at]
	}
	return notice[K]{}
}

// set stores an entry, and returns false when the board is full or holds one that is as new.
func (t *noticeTable[K]) set(entry notice[K]) (stored, full bool) {
	at, ok := t.find(entry.key)
	switch {
	case ok && t.notices[at].originMillis >= entry.originMillis:
		return false, false
	case ok:
		t.notices[at] = entry
	case len(t.notices) >= maxNotices:
		return false, true
	default:
		t.notices = slices.Insert(t.notices, at, entry)
	}
	return true, false
}

// expire drops the entries that have lapsed.
func (t *noticeTable[K]) expire(now time.Time) {
	t.notices = slices.DeleteFunc(t.notices, func(n notice[K]) bool { return !now.Before(n.expiry) })
}

// advance returns the entries in turn, or false when there is none.
func (t *noticeTable[K]) advance() (notice[K], bool) {
	if len(t.notices) == 0 {
		return notice[K]{}, false
	}
	t.cursor = (t.cursor + 1) % len(t.notices)
	return t.notices[t.cursor], true
}
