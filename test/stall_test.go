package test

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stallInterval is how often the stall recorder wakes up, stallLimit the delay of a wake-up from which on it is recorded. Tests wait
	// for processes with tolerances from 250 ms.
	stallInterval = 10 * time.Millisecond
	stallLimit    = 200 * time.Millisecond
)

// recordStalls reports, until ctx is done, when this process was not scheduled for stallLimit or longer. A test that failed at such a time
// may have failed because the machine stood still; one that failed at another time did not.
func recordStalls(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		ticker := time.NewTicker(stallInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-ticker.C:
				if stalled := time.Since(last) - stallInterval; stalled >= stallLimit {
					fmt.Printf("the test process was not scheduled for %v before %s\n", stalled.Round(time.Millisecond), time.Now().Format("15:04:05.000"))
				}
				last = time.Now()
			case <-ctx.Done():
				return nil
			}
		}
	})
}
