package cassiafollow

import "context"

// SharedStore holds values that one VM creates for all VMs.
type SharedStore interface {
	// Read returns the value of a key, or nil if there is none. Unless fresh is set, it may read a state some seconds old
	// and return nil for a key that was created since.
	Read(ctx context.Context, key string, fresh bool) ([]byte, error)
	// Create writes a value unless the key exists; it returns nil in both cases.
	Create(ctx context.Context, key string, value []byte) error
}

// EnsureShared returns the value of a key and creates it if no VM has done so. It retries until ctx is done; it returns an
// error only then or when create fails.
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
			// Read the value back: another VM may have written first, and a failed write may have taken effect.
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
