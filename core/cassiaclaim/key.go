package cassiaclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"cassiasaddle/core/cassiaid"
)

// Layout of the buckets. All VMs have to use the same layout, so it is not a setting.
const (
	bucketsPerWindow = 4
	windowLength     = time.Second
	// ringSlots is the number of windows after which a bucket is reused: 17 minutes.
	ringSlots = 1024
)

// Bounds on the time of a key.
const (
	// MaxRetention is how long a claim is certain to be kept, counted from the time in its key.
	MaxRetention = 15 * time.Minute
	// maxKeyAhead is how far the time in a key may be ahead of this VM's clock.
	maxKeyAhead = time.Minute
)

// uuidVersion is the version of UUID that contains a time.
const uuidVersion = 7

// Key is an idempotency key, scoped to its team and front, with the time that it contains.
type Key struct {
	Scoped string
	Time   time.Time
}

// ParseKey parses a caller's idempotency key, a UUID of version 7, for one front.
func ParseKey(front cassiaid.FrontKey, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("%w; send a UUID of version 7 as Idempotency-Key", err)
	}
	if id.Version() != uuidVersion {
		return Key{}, fmt.Errorf("the UUID has version %d; send one of version 7 as Idempotency-Key", id.Version())
	}
	seconds, nanos := id.Time().UnixTime()
	return Key{Scoped: front.String() + "/" + id.String(), Time: time.Unix(seconds, nanos)}, nil
}

// window returns the number of the window that the key's time lies in.
func (k Key) window() int64 { return k.Time.UnixMilli() / windowLength.Milliseconds() }

// Bucket returns the bucket that holds the key's claim.
func (k Key) Bucket() BucketID {
	slot := (k.window()%ringSlots + ringSlots) % ringSlots
	return BucketID{Hash: uint32(xxhash.Sum64String(k.Scoped) % bucketsPerWindow), Slot: uint32(slot)}
}

// BucketID identifies a bucket by the hash of its keys, modulo bucketsPerWindow, and its slot in the ring of windows.
type BucketID struct{ Hash, Slot uint32 }

// String returns the bucket's key in the key-value service.
func (b BucketID) String() string { return fmt.Sprintf("claims/%d-%d", b.Hash, b.Slot) }

// Retention returns the retention in force for a setting. A setting that is not positive or too long gives
// MaxRetention.
func Retention(setting time.Duration) time.Duration {
	if setting <= 0 || setting > MaxRetention {
		return MaxRetention
	}
	return setting
}
