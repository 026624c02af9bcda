package test

import (
	"context"
	"testing"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/standin/cassiarelay"
)

// startRelay starts a relay in this process, which runs until the test ends.
func startRelay(t *testing.T, options cassiarelay.Options) *cassiarelay.Relay {
	t.Helper()
	relay := cassiarelay.New(options)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	ready, failed := make(chan struct{}), make(chan error, 1)
	group.Go(func() error {
		err := relay.Run(ctx, func() { close(ready) })
		failed <- err
		return err
	})
	t.Cleanup(func() {
		stop()
		group.Wait() //nolint:errcheck // it returns when the context is cancelled
	})
	select {
	case <-ready:
	case err := <-failed:
		t.Fatalf("the relay does not start: %v", err)
	}
	return relay
}
