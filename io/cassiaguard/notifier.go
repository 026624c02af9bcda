package cassiaguard

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

const defaultTimeout = 100 * time.Millisecond

const (
	// otherRunsTimeout bounds how long the result of an attempt that lost its target waits for the outcome of other
	// runs of the same request.
	otherRunsTimeout = 200 * time.Millisecond
	// otherRunsInterval is how often the server checks whether those runs have ended.
	otherRunsInterval = 2 * time.Millisecond
	// noticeTimeout bounds the delivery of a loss notice, also after the result of the attempt has stopped waiting for it.
	noticeTimeout = time.Second
)

// Exchanger sends frames to other VMs; *cassiapeer.Node implements it.
type Exchanger interface {
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
	Send(ctx context.Context, vm cassiaid.VMName, orderingKey uint64, frame *cassiaschema.PeerFrame) error
	// DropSilent closes the connection to a VM if nothing has arrived on it since a time; the next frame opens a new one.
	DropSilent(vm cassiaid.VMName, since time.Time)
}

// Notifier exchanges what Guards have observed with other VMs by frames; it implements Peers. All fields but Log and Timeout are
// required.
type Notifier struct {
	Guard *Guard
	Node  Exchanger
	// Others returns the other VMs that send requests to the targets of a front.
	Others func(front cassiaid.FrontKey) []cassiaid.VMName
	// Quarantined receives the quarantines that this VM has decided.
	Quarantined func(quarantine cassiaquarantine.ShareQuarantine)
	Scope       tally.Scope
	// Log, if set, writes a log line for an event; fields are alternating keys and values.
	Log func(event string, fields ...any)
	// Timeout bounds how long the result of an attempt that lost its target waits for the other VMs, and each inquiry and
	// answer to them; defaultTimeout if zero.
	Timeout time.Duration

	group errgroup.Group
}

func (n *Notifier) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), cmp.Or(n.Timeout, defaultTimeout))
}

// Deliver sends a frame to another VM and returns nil once that VM has replied to it.
func (n *Notifier) Deliver(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
	sentAt := time.Now()
	_, err := n.Node.Exchange(ctx, vm, frame)
	if ctx.Err() != nil {
		n.Node.DropSilent(vm, sentAt)
	}
	return err
}

// ShareLoss sends the loss of a target to the other VMs. It returns after they acknowledged it or timed out and after the other
// runs of the lost requests have ended or timed out, so that no retry starts while those runs may still crash a target, too.
func (n *Notifier) ShareLoss(front cassiaid.FrontKey, loss cassiaquarantine.Loss) {
	n.Scope.Counter("targetLosses").Inc(1)
	notice := encodeLoss(cassiaquarantine.LossLearned{Loss: loss})
	var remote remoteRuns
	told := make(chan struct{})
	n.group.Go(func() error {
		defer close(told)
		n.sendLossNotices(front, notice, &remote)
		return nil
	})
	timer := time.NewTimer(cmp.Or(n.Timeout, defaultTimeout))
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
		// VMs that are slow to answer get the notice nevertheless.
	}
	n.awaitOtherRuns(loss, &remote)
}

// sendLossNotices sends a notice to the other VMs and applies their replies.
func (n *Notifier) sendLossNotices(front cassiaid.FrontKey, notice *cassiaschema.LossNotice, remote *remoteRuns) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	n.forEachOther(front, func(vm cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_LossNotice{LossNotice: notice}}
		reply, err := n.Node.Exchange(ctx, vm, frame)
		if err != nil {
			n.Scope.Counter("lossNotShared").Inc(1)
			return
		}
		for _, a := range reply.GetLossNoticeReply().GetAnswered() {
			n.handleAnswerNotice(a)
		}
		n.learnHistory(front, vm, reply.GetLossNoticeReply().GetHistory())
		remote.add(reply.GetLossNoticeReply().GetRunning())
	})
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

func (r *remoteRuns) has(f cassiaid.Fingerprint) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.fingerprints[f]
}

// awaitOtherRuns waits until every request of a loss is quarantined, is cleared or has no other run, but no longer than
// otherRunsTimeout.
func (n *Notifier) awaitOtherRuns(loss cassiaquarantine.Loss, remote *remoteRuns) {
	timeout := time.After(otherRunsTimeout)
	ticker := time.NewTicker(otherRunsInterval)
	defer ticker.Stop()
	for n.hasUndecidedRun(loss, remote) {
		select {
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}

// hasUndecidedRun reports whether a request of a loss still runs here or at another owner while it is neither
// quarantined nor cleared.
func (n *Notifier) hasUndecidedRun(loss cassiaquarantine.Loss, remote *remoteRuns) bool {
	for _, r := range loss.Runs {
		running := remote.has(r.Fingerprint) || n.Guard.Running(r.Fingerprint, r.Shard)
		if running && n.Guard.Undecided(r.Fingerprint, r.Shard) {
			return true
		}
	}
	return false
}

// RunsElsewhere reports whether another owner of the front's targets is running a request for a shard. An owner that
// does not reply in time counts as not running it. One that tells of losses which this VM had missed counts as running it, so that
// the caller decides anew.
func (n *Notifier) RunsElsewhere(front cassiaid.FrontKey, run cassiaquarantine.Run) bool {
	ctx, cancel := n.timeout()
	defer cancel()
	inquiry := &cassiaschema.RunInquiry{Fingerprint: uint64(run.Fingerprint), Content: uint64(run.Content), Shard: uint32(run.Shard)}
	var running atomic.Bool
	n.forEachOther(front, func(owner cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_RunInquiry{RunInquiry: inquiry}}
		reply, err := n.Node.Exchange(ctx, owner, frame)
		if err != nil {
			return
		}
		missedLosses := n.learnHistory(front, owner, reply.GetRunInquiryReply().GetHistory())
		if missedLosses || reply.GetRunInquiryReply().GetRunning() {
			running.Store(true)
		}
	})
	return running.Load()
}

// ShareAnswer notifies the other owners of the front's targets that a suspect request was answered.
func (n *Notifier) ShareAnswer(front cassiaid.FrontKey, answer cassiaquarantine.ShareAnswer) {
	ctx, cancel := n.timeout()
	defer cancel()
	n.forEachOther(front, func(owner cassiaid.VMName) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AnswerNotice{AnswerNotice: answerNotice(answer)}}
		if err := n.Node.Send(ctx, owner, uint64(answer.Fingerprint), frame); err != nil {
			n.Scope.Counter("answerNotShared").Inc(1)
		}
	})
}

func answerNotice(a cassiaquarantine.ShareAnswer) *cassiaschema.AnswerNotice {
	return &cassiaschema.AnswerNotice{Fingerprint: uint64(a.Fingerprint), Shard: uint32(a.Shard), Earlier: a.BeforeLoss}
}

// ShareQuarantine passes a quarantine to Quarantined.
func (n *Notifier) ShareQuarantine(quarantine cassiaquarantine.ShareQuarantine) {
	n.Scope.Counter("quarantines").Inc(1)
	n.Quarantined(quarantine)
}

// forEachOther calls f concurrently for every other VM that sends to a front's targets and waits for all calls.
func (n *Notifier) forEachOther(front cassiaid.FrontKey, f func(vm cassiaid.VMName)) {
	var group errgroup.Group
	for _, vm := range n.Others(front) {
		group.Go(func() error { f(vm); return nil })
	}
	group.Wait() //nolint:errcheck // the calls return no error
}

// HandleFrame handles a frame of another VM's Notifier and returns the reply, or nil if there is none. It returns false for
// other frames.
func (n *Notifier) HandleFrame(from cassiaid.VMName, frame *cassiaschema.PeerFrame) (reply *cassiaschema.PeerFrame, handled bool) {
	switch body := frame.GetBody().(type) {
	case *cassiaschema.PeerFrame_LossNotice:
		return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_LossNoticeReply{LossNoticeReply: n.handleLossNotice(from, body.LossNotice)}}, true
	case *cassiaschema.PeerFrame_RunInquiry:
		return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_RunInquiryReply{RunInquiryReply: n.handleRunInquiry(body.RunInquiry)}}, true
	case *cassiaschema.PeerFrame_AnswerNotice:
		n.handleAnswerNotice(body.AnswerNotice)
		return nil, true
	case *cassiaschema.PeerFrame_QuarantineNotice:
		n.learnQuarantines(from, body.QuarantineNotice.GetRequests())
		return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_QuarantineNoticeReply{
			QuarantineNoticeReply: &cassiaschema.QuarantineNoticeReply{},
		}}, true
	}
	return nil, false
}

// handleRunInquiry tells whether this VM runs a request, and what it knows against it.
func (n *Notifier) handleRunInquiry(inquiry *cassiaschema.RunInquiry) *cassiaschema.RunInquiryReply {
	run := cassiaquarantine.Run{Fingerprint: cassiaid.Fingerprint(inquiry.GetFingerprint()), Content: cassiaid.Fingerprint(inquiry.GetContent()),
		Shard: cassiaid.ShardIndex(inquiry.GetShard())}
	fingerprints := run.Fingerprints()
	reply := &cassiaschema.RunInquiryReply{History: &cassiaschema.CrashHistory{Losses: n.lossesOf(fingerprints),
		Quarantined: n.Guard.quarantined(fingerprints)}}
	for _, f := range fingerprints {
		reply.Running = reply.Running || n.Guard.BlocksOtherVMs(f, run.Shard)
	}
	return reply
}

// handleLossNotice records a loss that another owner has seen. The reply lists the lost requests that this VM's targets
// have answered, as evidence that they did not cause the loss, those that this VM is running, and what it knows against them.
func (n *Notifier) handleLossNotice(from cassiaid.VMName, notice *cassiaschema.LossNotice) *cassiaschema.LossNoticeReply {
	learned := decodeLoss(from, notice)
	fingerprints := fingerprintsOf(learned.Loss.Runs)
	reply := &cassiaschema.LossNoticeReply{History: &cassiaschema.CrashHistory{Losses: n.lossesOf(fingerprints)}}
	for _, a := range n.Guard.ApplyNotice(learned) {
		reply.Answered = append(reply.Answered, answerNotice(a))
	}
	reply.History.Quarantined = n.Guard.quarantined(fingerprints)
	for _, r := range learned.Loss.Runs {
		if n.Guard.Running(r.Fingerprint, r.Shard) {
			reply.Running = append(reply.Running, uint64(r.Fingerprint))
		}
	}
	return reply
}

// handleAnswerNotice records that another VM's target has answered a suspect request.
func (n *Notifier) handleAnswerNotice(a *cassiaschema.AnswerNotice) {
	n.Guard.ApplyNotice(cassiaquarantine.AnswerLearned{
		Fingerprint: cassiaid.Fingerprint(a.Fingerprint), Shard: cassiaid.ShardIndex(a.Shard), BeforeLoss: a.Earlier,
	})
}

// learnQuarantines records quarantines that another VM knows.
func (n *Notifier) learnQuarantines(from cassiaid.VMName, quarantined []*cassiaschema.QuarantinedRequest) {
	for _, r := range quarantined {
		fingerprint, remaining := cassiaid.Fingerprint(r.GetFingerprint()), r.GetRemaining().AsDuration()
		if n.Guard.Quarantined(fingerprint, remaining) && n.Log != nil {
			n.Log("quarantineLearned", "from", from, "fingerprint", fingerprint, "remaining", remaining)
		}
	}
}
