package cassiatree

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

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
	others := slices.DeleteFunc(s.memberGenerations(), func(m MemberGeneration) bool { return m.Name == s.config.Self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), catchUpPeers)]
	// The last one stays 0, for a VM that knows no other.
	inForce := make([]cassiaid.Generation, len(others)+1)
	var asks errgroup.Group
	for i, m := range others {
		asks.Go(func() error {
			g, err := s.requestGeneration(ctx, m.Name)
			if err != nil {
				return nil //nolint:nilerr // the others are asked as well
			}
			inForce[i] = g
			return s.deliver(ctx, cassiasettings.DigestReceived{From: m.Name, Generation: g})
		})
	}
	_ = asks.Wait()
	highest := slices.Max(inForce)
	changes, end := s.Subscribe()
	defer end()
	for s.Generation() < highest {
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
