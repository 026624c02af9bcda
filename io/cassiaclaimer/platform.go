package cassiaclaimer

import (
	"context"
	"errors"

	"cassiasaddle/io/cassiastore"
)

// PlatformStore is a Store in the platform's key-value service.
type PlatformStore struct{ Client *cassiastore.Client }

// Get implements Store.
func (s PlatformStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	entry, err := s.Client.Get(ctx, key)
	return entry.Value, uint64(entry.Revision), err
}

// Put implements Store; it reports a conflict as false without an error.
func (s PlatformStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, bool, error) {
	revision, err := s.Client.Put(ctx, key, value, cassiastore.Revision(ifRevision))
	var failure *cassiastore.Error
	if errors.As(err, &failure) && failure.Kind == cassiastore.Conflict {
		return 0, false, nil
	}
	return uint64(revision), err == nil, err
}
