package cassiaclaimer

import "context"

// Store is the part of the platform's key-value service that claims need.
type Store interface {
	// Get returns the value and revision of a key; an absent key has revision 0 and no error.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// Put writes a value if the key still has a revision, 0 for an absent one. It returns false without an error when
	// the revision is another one; after an error the write may or may not have taken effect.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (revision uint64, done bool, err error)
}
