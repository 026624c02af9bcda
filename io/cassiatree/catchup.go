package cassiatree

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// catchUpPeers is the number of other VMs that CatchUp asks, so that one that lags or does not reply does not decide.
const catchUpPeers = 3

// CatchUp asks some other VMs which generation they have in force and returns when this VM has the highest of them in force, or when ctx
// is done.
func (s *Service) CatchUp(ctx context.Context) {
	members := s.memberGenerations()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var highest atomic.Uint64
	var asks errgroup.Group
	asked := 0
	for _, m := range members {
		if m.Name == s.config.Self || asked == catchUpPeers {
			continue
		}
		asked++
		asks.Go(func() error {
			g, err := s.requestGeneration(ctx, m.Name)
			if err != nil {
				return nil //nolint:nilerr // the others are asked as well
			}
			for known := highest.Load(); uint64(g) > known && !highest.CompareAndSwap(known, uint64(g)); known = highest.Load() {
			}
			return s.deliver(ctx, cassiasettings.DigestReceived{From: m.Name, Generation: g})
		})
	}
	_ = asks.Wait()
	changes, end := s.Subscribe()
	defer end()
	for s.Generation() < cassiaid.Generation(highest.Load()) {
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
	}
}

// requestGeneration asks another VM for its generation.
func (s *Service) requestGeneration(ctx context.Context, vm cassiaid.VMName) (cassiaid.Generation, error) {
	// No VM has a higher generation, so the reply contains only the head.
	state, err := s.requestState(ctx, vm, &cassiaschema.SettingsRequest{HaveGeneration: math.MaxUint64})
	return cassiaid.Generation(state.GetHead().GetGeneration()), err
}
