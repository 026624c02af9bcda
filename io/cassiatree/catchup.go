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

// CatchUp asks some other VMs which generation they have in force, and waits until this VM has the highest of them in force. It returns
// false if ctx is done before, or if there are other VMs and none answers.
func (s *Service) CatchUp(ctx context.Context) bool {
	others := slices.DeleteFunc(s.memberGenerations(), func(m MemberGeneration) bool { return m.Name == s.config.Self })
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), catchUpPeers)]
	inForce, answered := make([]cassiaid.Generation, len(others)), make([]bool, len(others))
	var asks errgroup.Group
	for i, m := range others {
		asks.Go(func() error {
			g, err := s.requestGeneration(ctx, m.Name)
			if err != nil {
				// The connection may have ended during a pause; this opens another one.
				g, err = s.requestGeneration(ctx, m.Name)
			}
			if err != nil {
				return nil //nolint:nilerr // the others are asked as well
			}
			inForce[i], answered[i] = g, true
			return s.deliver(ctx, cassiasettings.DigestReceived{From: m.Name, Generation: g})
		})
	}
	_ = asks.Wait()
	if !slices.Contains(answered, true) {
		return false
	}
	highest := slices.Max(inForce)
	changes, end := s.Subscribe()
	defer end()
	for s.Generation() < highest {
		select {
		case <-changes:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// requestGeneration asks another VM for its generation.
func (s *Service) requestGeneration(ctx context.Context, vm cassiaid.VMName) (cassiaid.Generation, error) {
	// No VM has a higher generation, so the reply contains only the head.
	state, err := s.requestState(ctx, vm, &cassiaschema.SettingsRequest{HaveGeneration: math.MaxUint64})
	return cassiaid.Generation(state.GetHead().GetGeneration()), err
}
