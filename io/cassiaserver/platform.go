package cassiaserver

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaroute"
)

const (
	// leavingPollInterval is how often the platform is asked which targets it is about to stop.
	leavingPollInterval = time.Second
	// leavingPollMaxInterval is the longest pause between tries while the platform does not answer.
	leavingPollMaxInterval = 10 * time.Second
	// leavingPollers is how many VMs of a zone ask; the others learn it from them.
	leavingPollers = 2
	// leavingNoticeInterval is how often a target that stays on the list is told again.
	leavingNoticeInterval = 10 * time.Second
	// leavingNoticeLifetime is how long one notice holds.
	leavingNoticeLifetime = 30 * time.Second
)

// watchLeavingTargets asks the platform which targets it is about to stop, on few VMs of each zone.
func (s *server) watchLeavingTargets(ctx context.Context) error {
	wait := leavingPollInterval
	lastNotice := make(map[cassiaid.TargetName]time.Time)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(withJitter(wait)):
		}
		if !s.pollsPlatform() {
			wait = leavingPollInterval
			continue
		}
		targets, err := s.store.LeavingTargets(ctx)
		if err != nil {
			wait = min(2*wait, leavingPollMaxInterval)
			level.Debug(s.logger).Log("msg", "the platform did not list leaving targets", "err", err)
			continue
		}
		wait = leavingPollInterval
		s.routes.Update(cassiaroute.PlatformLeaving{Targets: targets})
		s.renewLeavingNotices(targets, lastNotice)
	}
}

// renewLeavingNotices repeats notices of targets that stay on the list, before the notices before them lapse.
func (s *server) renewLeavingNotices(targets []cassiaid.TargetName, lastNotice map[cassiaid.TargetName]time.Time) {
	now := time.Now()
	for _, t := range targets {
		if now.Sub(lastNotice[t]) >= leavingNoticeInterval {
			lastNotice[t] = now
			s.gossip.AddLeavingTarget(t, true, leavingNoticeLifetime)
		}
	}
}

// pollsPlatform tells whether this VM is one of its zone's VMs that ask the platform.
func (s *server) pollsPlatform() bool {
	names := make([]cassiaid.VMName, 0, leavingPollers)
	for _, m := range s.gossip.Members() {
		if m.Zone == s.zone && m.State == cassiamember.Alive && len(names) < leavingPollers {
			names = append(names, m.Name)
		}
	}
	for _, name := range names {
		if name == s.self {
			return true
		}
	}
	return false
}

// withJitter spreads calls of many VMs over time.
func withJitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}
