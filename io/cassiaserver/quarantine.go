package cassiaserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
)

// lossShareTimeout bounds how long the result of an attempt that lost its target waits for the other owners to
// acknowledge the loss. It also bounds the other messages to owners in this file.
const lossShareTimeout = 100 * time.Millisecond

const (
	// otherRunsTimeout bounds how long the result of an attempt that lost its target waits for the outcome of other
	// runs of the same request.
	otherRunsTimeout = 200 * time.Millisecond
	// otherRunsInterval is how often the server checks whether those runs have ended.
	otherRunsInterval = 2 * time.Millisecond
)

// ShareLoss sends the loss of a target to the other owners of the front's targets. It returns after they acknowledged
// it or timed out and after the other runs of the lost requests have ended or timed out, so that no retry starts while
// those runs may still crash a target, too.
func (s *server) ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss) {
	s.metrics.Scope.Counter("targetLosses").Inc(1)
	notice := &cassiaschema.LossNotice{Target: string(loss.Target)}
	for _, r := range loss.Runs {
		notice.Runs = append(notice.Runs, &cassiaschema.LostRun{
			AttemptId: uint64(r.Attempt), Fingerprint: uint64(r.Fingerprint), Shard: uint32(r.Shard), Alone: r.Alone,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), lossShareTimeout)
	defer cancel()
	var remote remoteRuns
	s.forEachOtherOwner(front, func(owner cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_LossNotice{LossNotice: notice}}
		reply, err := s.node.Exchange(ctx, owner, frame)
		if err != nil {
			s.metrics.Scope.Counter("lossNotShared").Inc(1)
			return
		}
		for _, a := range reply.GetLossNoticeReply().GetAnswered() {
			s.handleAnswerNotice(a)
		}
		remote.add(reply.GetLossNoticeReply().GetRunning())
	})
	s.awaitOtherRuns(loss, &remote)
}

// remoteRuns collects the fingerprints of the requests that other owners are running.
type remoteRuns struct {
	mutex        sync.Mutex
	fingerprints map[cassiaid.Fingerprint]bool
}

func (r *remoteRuns) add(running []uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fingerprints == nil {
		r.fingerprints = make(map[cassiaid.Fingerprint]bool)
	}
	for _, f := range running {
		r.fingerprints[cassiaid.Fingerprint(f)] = true
	}
}

// awaitOtherRuns waits until every request of a loss is quarantined, is cleared or has no other run, but no longer than
// otherRunsTimeout.
func (s *server) awaitOtherRuns(loss cassiaquarantine.Loss, remote *remoteRuns) {
	timeout := time.After(otherRunsTimeout)
	ticker := time.NewTicker(otherRunsInterval)
	defer ticker.Stop()
	for s.hasUndecidedRun(loss, remote) {
		select {
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}

// hasUndecidedRun reports whether a request of a loss still runs here or at another owner while it is neither
// quarantined nor cleared.
func (s *server) hasUndecidedRun(loss cassiaquarantine.Loss, remote *remoteRuns) bool {
	for _, r := range loss.Runs {
		running := remote.fingerprints[r.Fingerprint] || s.quarantine.Running(r.Fingerprint, r.Shard)
		if running && s.quarantine.Undecided(r.Fingerprint, r.Shard) {
			return true
		}
	}
	return false
}

// RunsElsewhere reports whether another owner of the front's targets is running a request for a shard. An owner that
// does not reply in time counts as not running it.
func (s *server) RunsElsewhere(front cassiaid.FrontKey, run cassiaquarantine.Run) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lossShareTimeout)
	defer cancel()
	inquiry := &cassiaschema.RunInquiry{Fingerprint: uint64(run.Fingerprint), Shard: uint32(run.Shard)}
	var running atomic.Bool
	s.forEachOtherOwner(front, func(owner cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_RunInquiry{RunInquiry: inquiry}}
		reply, err := s.node.Exchange(ctx, owner, frame)
		if err == nil && reply.GetRunInquiryReply().GetRunning() {
			running.Store(true)
		}
	})
	return running.Load()
}

// ShareAnswer notifies the other owners of the front's targets that a suspect request was answered.
func (s *server) ShareAnswer(front cassiaid.FrontKey, answer cassiaquarantine.ShareAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), lossShareTimeout)
	defer cancel()
	s.forEachOtherOwner(front, func(owner cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AnswerNotice{AnswerNotice: answerNotice(answer)}}
		if err := s.node.Send(ctx, owner, uint64(answer.Fingerprint), frame); err != nil {
			s.metrics.Scope.Counter("answerNotShared").Inc(1)
		}
	})
}

func answerNotice(a cassiaquarantine.ShareAnswer) *cassiaschema.AnswerNotice {
	return &cassiaschema.AnswerNotice{Fingerprint: uint64(a.Fingerprint), Shard: uint32(a.Shard), Earlier: a.BeforeLoss}
}

// forEachOtherOwner calls f concurrently for every owner of a front's targets except this VM and waits for all calls.
func (s *server) forEachOtherOwner(front cassiaid.FrontKey, f func(owner cassiaid.VMName)) {
	var owners []cassiaid.VMName
	s.routes.With(func(t *cassiaroute.Table) { owners = t.FrontOwners(front) })
	var group errgroup.Group
	for _, owner := range owners {
		if owner != s.self {
			group.Go(func() error { f(owner); return nil })
		}
	}
	group.Wait() //nolint:errcheck // the calls return no error
}

// ShareQuarantine stops this VM's runs of a quarantined request and sends the quarantine to all other VMs by gossip.
func (s *server) ShareQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.metrics.Scope.Counter("quarantines").Inc(1)
	s.entry.Quarantined(fingerprint, remaining)
	s.gossip.AddQuarantine(fingerprint, remaining)
}

// ShareLeaving sends a notice to the other VMs that a target is leaving or accepts work again.
func (s *server) ShareLeaving(notice cassiaroute.ShareLeaving) {
	s.gossip.AddLeavingTarget(notice.Target, notice.Leaving, notice.Remaining)
}

// handleLossNotice records a loss that another owner has seen. The reply lists the lost requests that this VM's targets
// have answered, as evidence that they did not cause the loss, and those that this VM is running.
func (s *server) handleLossNotice(notice *cassiaschema.LossNotice) *cassiaschema.LossNoticeReply {
	loss := cassiaquarantine.Loss{Target: cassiaid.TargetName(notice.Target)}
	for _, r := range notice.Runs {
		loss.Runs = append(loss.Runs, cassiaquarantine.Run{
			Attempt: cassiaid.AttemptID(r.AttemptId), Fingerprint: cassiaid.Fingerprint(r.Fingerprint),
			Shard: cassiaid.ShardIndex(r.Shard), Alone: r.Alone,
		})
	}
	reply := &cassiaschema.LossNoticeReply{}
	for _, a := range s.quarantine.ApplyNotice(cassiaquarantine.LossLearned{Loss: loss}) {
		reply.Answered = append(reply.Answered, answerNotice(a))
	}
	for _, r := range loss.Runs {
		if s.quarantine.Running(r.Fingerprint, r.Shard) {
			reply.Running = append(reply.Running, uint64(r.Fingerprint))
		}
	}
	return reply
}

// handleAnswerNotice records that another VM's target has answered a suspect request.
func (s *server) handleAnswerNotice(a *cassiaschema.AnswerNotice) {
	s.quarantine.ApplyNotice(cassiaquarantine.AnswerLearned{
		Fingerprint: cassiaid.Fingerprint(a.Fingerprint), Shard: cassiaid.ShardIndex(a.Shard), BeforeLoss: a.Earlier,
	})
}

// handleQuarantineNotice applies a quarantine that another VM has decided, for the remaining time.
func (s *server) handleQuarantineNotice(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.quarantine.ApplyNotice(cassiaquarantine.QuarantineLearned{Fingerprint: fingerprint, Remaining: remaining})
	s.entry.Quarantined(fingerprint, remaining)
}

// handleTargetNotice records another VM's notice that a target is leaving or accepts work again.
func (s *server) handleTargetNotice(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	if !leaving {
		s.routes.Update(cassiaroute.TargetBack{Target: target})
		return
	}
	s.routes.Update(cassiaroute.TargetLeaving{Target: target, Source: cassiaroute.SourceNotice, Remaining: remaining})
}
