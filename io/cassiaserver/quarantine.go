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

// lossShareTimeout bounds how long a loss's result waits until the other owners know of the loss.
const lossShareTimeout = 100 * time.Millisecond

const (
	// otherRunsTimeout bounds how long a loss's result waits for the outcome of other runs of the same request.
	otherRunsTimeout = 200 * time.Millisecond
	// otherRunsInterval is how often it is checked whether they are over.
	otherRunsInterval = 2 * time.Millisecond
)

// ShareLoss tells the owners of the front's targets; it returns when they know or cannot be reached in time, and when
// other runs of the lost requests are over, so that no retry starts while they may still lose a target, too.
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

// remoteRuns gathers the requests that other owners run.
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

// awaitOtherRuns returns when every request of a loss is quarantined, cleared, or runs nowhere else, or after a while.
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

func (s *server) hasUndecidedRun(loss cassiaquarantine.Loss, remote *remoteRuns) bool {
	for _, r := range loss.Runs {
		running := remote.fingerprints[r.Fingerprint] || s.quarantine.Running(r.Fingerprint, r.Shard)
		if running && s.quarantine.Undecided(r.Fingerprint, r.Shard) {
			return true
		}
	}
	return false
}

// RunsElsewhere asks the other owners of the front's targets whether one of them runs a request for a shard; one that
// can't be reached in time counts as not running it.
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

// ShareAnswer tells the owners of the front's targets that a suspected request was answered.
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
	return &cassiaschema.AnswerNotice{Fingerprint: uint64(a.Fingerprint), Shard: uint32(a.Shard), Earlier: a.Earlier}
}

// forEachOtherOwner calls f for every other owner of a front's targets at once and waits for all.
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

// handleLossNotice takes another owner's loss and vouches for requests that this VM's targets have answered.
func (s *server) handleLossNotice(notice *cassiaschema.LossNotice) *cassiaschema.LossNoticeReply {
	loss := cassiaquarantine.Loss{Target: cassiaid.TargetName(notice.Target)}
	for _, r := range notice.Runs {
		loss.Runs = append(loss.Runs, cassiaquarantine.Run{
			Attempt: cassiaid.AttemptID(r.AttemptId), Fingerprint: cassiaid.Fingerprint(r.Fingerprint),
			Shard: cassiaid.ShardIndex(r.Shard), Alone: r.Alone,
		})
	}
	reply := &cassiaschema.LossNoticeReply{}
	for _, a := range s.quarantine.Learn(cassiaquarantine.LossLearned{Loss: loss}) {
		reply.Answered = append(reply.Answered, answerNotice(a))
	}
	for _, r := range loss.Runs {
		if s.quarantine.Running(r.Fingerprint, r.Shard) {
			reply.Running = append(reply.Running, uint64(r.Fingerprint))
		}
	}
	return reply
}

// handleAnswerNotice takes that a suspected request was answered elsewhere.
func (s *server) handleAnswerNotice(a *cassiaschema.AnswerNotice) {
	s.quarantine.Learn(cassiaquarantine.AnswerLearned{
		Fingerprint: cassiaid.Fingerprint(a.Fingerprint), Shard: cassiaid.ShardIndex(a.Shard), Earlier: a.Earlier,
	})
}

// handleQuarantineNotice takes another VM's quarantine.
func (s *server) handleQuarantineNotice(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.quarantine.Learn(cassiaquarantine.Learned{Fingerprint: fingerprint, Remaining: remaining})
	s.entry.Quarantined(fingerprint, remaining)
}

// handleTargetNotice takes another VM's notice of a target that leaves or is back.
func (s *server) handleTargetNotice(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	if !leaving {
		s.routes.Update(cassiaroute.TargetBack{Target: target})
		return
	}
	s.routes.Update(cassiaroute.TargetLeaving{Target: target, Source: cassiaroute.SourceNotice, Remaining: remaining})
}
