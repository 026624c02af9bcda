package cassiafollow

import "context"

// SharedStore is a store of values that are made once for all VMs.
type SharedStore interface {
	// Read returns a value, or nil if there is none or, unless fresh is set, was none some seconds ago.
	Read(ctx context.Context, key string, fresh bool) ([]byte, error)
	// Create writes a value unless the key exists.
	Create(ctx context.Context, key string, value []byte) error
}

// EnsureShared returns the value of a key, which the first VM that finds none makes. It tries until ctx is done.
func EnsureShared(ctx context.Context, shared SharedStore, key string, create func() ([]byte, error), log Log) ([]byte, error) {
	failures := 0
	for fresh := false; ; fresh = true {
		value, err := shared.Read(ctx, key, fresh)
		if err == nil && value != nil {
			return value, nil
		}
		if err == nil && !fresh {
			continue
		}
		if err == nil {
			if value, err = create(); err != nil {
				return nil, err
			}
			// Whoever wrote first, and whether or not this write took effect, is read back.
			if err = shared.Create(ctx, key, value); err == nil {
				continue
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		log("sharedValueFailed", "key", key, "error", err)
		sleep(ctx, retryBackoff(failures, maxBackoff))
		failures++
	}
}
