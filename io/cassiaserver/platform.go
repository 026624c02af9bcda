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
	// leavingPollInterval is the mean time between two polls of the platform's list of leaving targets.
	leavingPollInterval = time.Second
	// maxLeavingPollInterval bounds the mean backoff while polls fail.
	maxLeavingPollInterval = 10 * time.Second
	// leavingPollers is how many VMs of an availability zone poll; the other VMs get the list from them by gossip.
	leavingPollers = 2
	// leavingNoticeInterval is the time after which the notice of a target that is still listed is sent again.
	leavingNoticeInterval = 10 * time.Second
	// leavingNoticeLifetime is how long a notice is valid.
	leavingNoticeLifetime = 30 * time.Second
)

// watchLeavingTargets polls the platform's list of the targets that it is about to stop, until ctx ends. Only a few VMs
// of each availability zone poll, see leavingPollers.
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
			wait = min(2*wait, maxLeavingPollInterval)
			level.Debug(s.logger).Log("msg", "reading the platform's list of leaving targets failed", "err", err)
			continue
		}
		wait = leavingPollInterval
		s.routes.Update(cassiaroute.PlatformLeaving{Targets: targets})
		s.renewLeavingNotices(targets, lastNotice)
	}
}

// renewLeavingNotices sends a notice for each listed target that had none within leavingNoticeInterval, so that the
// notices of a target that stays listed don't expire. It updates lastNotice, the time of each target's last notice.
func (s *server) renewLeavingNotices(targets []cassiaid.TargetName, lastNotice map[cassiaid.TargetName]time.Time) {
	now := time.Now()
	for _, t := range targets {
		if now.Sub(lastNotice[t]) >= leavingNoticeInterval {
			lastNotice[t] = now
			s.gossip.AddLeavingTarget(t, true, leavingNoticeLifetime)
		}
	}
}

// pollsPlatform reports whether this VM is one of the first leavingPollers live VMs of its availability zone.
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

// withJitter returns a random duration from half of wait to one and a half of it, so that VMs don't poll in step.
func withJitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait)))
}
