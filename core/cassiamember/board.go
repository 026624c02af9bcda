package cassiamember

import (
	"cmp"
	"slices"
	"time"
)

// boardLimit bounds the entries of a board.
const boardLimit = 1024

// notice is one entry of a board.
type notice[K cmp.Ordered] struct {
	key    K
	active bool
	expiry time.Time
	origin int64
}

// board holds news that lapses by itself, in the order of its keys.
type board[K cmp.Ordered] struct {
	notices []notice[K]
	next    int
}

func (b *board[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(b.notices, key, func(n notice[K], key K) int { return cmp.Compare(n.key, key) })
}

// get returns the entry of a key, or a zero one.
func (b *board[K]) get(key K) notice[K] {
	if at, ok := b.find(key); ok {
		return b.notices[at]
	}
	return notice[K]{}
}

// set stores an entry, and returns false when the board is full or holds one that is as new.
func (b *board[K]) set(entry notice[K]) (stored, full bool) {
	at, ok := b.find(entry.key)
	switch {
	case ok && b.notices[at].origin >= entry.origin:
		return false, false
	case ok:
		b.notices[at] = entry
	case len(b.notices) >= boardLimit:
		return false, true
	default:
		b.notices = slices.Insert(b.notices, at, entry)
	}
	return true, false
}

// expire drops the entries that have lapsed.
func (b *board[K]) expire(now time.Time) {
	b.notices = slices.DeleteFunc(b.notices, func(n notice[K]) bool { return !now.Before(n.expiry) })
}

// take returns the entries in turn, or false when there is none.
func (b *board[K]) take() (notice[K], bool) {
	if len(b.notices) == 0 {
		return notice[K]{}, false
	}
	b.next = (b.next + 1) % len(b.notices)
	return b.notices[b.next], true
}
