package cassiaclaimer

import "context"

// Store is a key-value service with compare-and-swap that holds the claim buckets.
type Store interface {
	// Get returns the value and the revision of a key. An absent key has revision 0, which is not an error.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// Put writes a value and returns its revision if the key's current revision is ifRevision, 0 for an absent key. It
	// returns false without an error when the key has another revision. After an error the write may or may not have
	// taken effect.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (revision uint64, done bool, err error)
}
