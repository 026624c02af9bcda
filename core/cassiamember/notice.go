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

func (b *noticeTable[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(b.notices, key, func(n notice[K], key K) int { return cmp.Compare(n.key, key) })
}

// get returns the entry of a key, or a zero one.
func (b *noticeTable[K]) get(key K) notice[K] {
	if at, ok := b.find(key); ok {
		return b.notices[at]
	}
	return notice[K]{}
}

// set stores an entry, and returns false when the board is full or holds one that is as new.
func (b *noticeTable[K]) set(entry notice[K]) (stored, full bool) {
	at, ok := b.find(entry.key)
	switch {
	case ok && b.notices[at].originMillis >= entry.originMillis:
		return false, false
	case ok:
		b.notices[at] = entry
	case len(b.notices) >= maxNotices:
		return false, true
	default:
		b.notices = slices.Insert(b.notices, at, entry)
	}
	return true, false
}

// expire drops the entries that have lapsed.
func (b *noticeTable[K]) expire(now time.Time) {
	b.notices = slices.DeleteFunc(b.notices, func(n notice[K]) bool { return !now.Before(n.expiry) })
}

// advance returns the entries in turn, or false when there is none.
func (b *noticeTable[K]) advance() (notice[K], bool) {
	if len(b.notices) == 0 {
		return notice[K]{}, false
	}
	b.cursor = (b.cursor + 1) % len(b.notices)
	return b.notices[b.cursor], true
}
