package cassiaserver

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
)

// lossShareTimeout bounds how long a loss's result waits until the other owners know of the loss.
const lossShareTimeout = 100 * time.Millisecond

// ShareLoss tells the owners of the front's targets; it returns when they know or cannot be reached in time.
func (s *server) ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss) {
	s.metrics.Scope.Counter("targetLosses").Inc(1)
	message := &cassiaschema.TargetLoss{Target: string(loss.Target)}
	for _, r := range loss.Runs {
		message.Runs = append(message.Runs, &cassiaschema.LostRun{
			AttemptId: uint64(r.Attempt), Fingerprint: uint64(r.Fingerprint), Shard: uint32(r.Shard), Alone: r.Alone,
		})
	}
	var owners []cassiaid.VMName
	s.routes.With(func(t *cassiaroute.Table) { owners = t.FrontOwners(front) })
	ctx, cancel := context.WithTimeout(context.Background(), lossShareTimeout)
	defer cancel()
	var group errgroup.Group
	for _, owner := range owners {
		if owner == s.self {
			continue
		}
		group.Go(func() error {
			frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_TargetLoss{TargetLoss: message}}
			if _, err := s.node.Exchange(ctx, owner, frame); err != nil {
				s.metrics.Scope.Counter("targetLossNotShared").Inc(1)
			}
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the calls return no error
}

// ShareQuarantine tells all VMs to refuse a request.
func (s *server) ShareQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.metrics.Scope.Counter("quarantines").Inc(1)
	s.entry.Quarantined(fingerprint, remaining)
	s.gossip.AddQuarantine(fingerprint, remaining)
}

// ShareLeaving tells the other VMs that a target is leaving or back.
func (s *server) ShareLeaving(notice cassiaroute.ShareLeaving) {
	s.gossip.AddLeavingTarget(notice.Target, notice.Leaving, notice.Remaining)
}

// learnLoss takes another owner's loss.
func (s *server) learnLoss(message *cassiaschema.TargetLoss) {
	loss := cassiaquarantine.Loss{Target: cassiaid.TargetName(message.Target)}
	for _, r := range message.Runs {
		loss.Runs = append(loss.Runs, cassiaquarantine.Run{
			Attempt: cassiaid.AttemptID(r.AttemptId), Fingerprint: cassiaid.Fingerprint(r.Fingerprint),
			Shard: cassiaid.ShardIndex(r.Shard), Alone: r.Alone,
		})
	}
	s.quarantine.Learn(cassiaquarantine.LossLearned{Loss: loss})
}

// learnQuarantine takes another VM's quarantine.
func (s *server) learnQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.quarantine.Learn(cassiaquarantine.Learned{Fingerprint: fingerprint, Remaining: remaining})
	s.entry.Quarantined(fingerprint, remaining)
}

// learnTarget takes another VM's notice of a target that leaves or is back.
func (s *server) learnTarget(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	if !leaving {
		s.routes.Update(cassiaroute.TargetBack{Target: target})
		return
	}
	s.routes.Update(cassiaroute.TargetLeaving{Target: target, Source: cassiaroute.SourceNotice, Remaining: remaining})
}
