package cassiaaggregate

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// resultGrace is how long after its deadline the result of an attempt may still arrive.
const resultGrace = 150 * time.Millisecond

// silenceTimeout is how long after a batch was sent a VM may return nothing at all before its connection is closed; it
// is longer than the pauses of targets.
const silenceTimeout = 500 * time.Millisecond

// Node sends frames to other VMs and closes connections to them. *cassiapeer.Node implements it.
type Node interface {
	Send(ctx context.Context, vm cassiaid.VMName, lane uint64, frame *cassiaschema.PeerFrame) error
	Drop(vm cassiaid.VMName)
}

// EndedFunc receives the attempts that ended together.
type EndedFunc func(cassiagateway.AttemptsEnded)

// Paths sends batches to aggregators on other VMs and passes on the results. It is safe for concurrent use.
type Paths struct {
	node    Node
	onEnded EndedFunc
	group   errgroup.Group

	mutex   sync.Mutex
	pending map[cassiaid.AttemptID]*pendingBatch
	// lastReceived is when results last arrived from a VM.
	lastReceived map[cassiaid.VMName]time.Time
}

// pendingBatch is a batch that still has attempts without a result.
type pendingBatch struct {
	vm     cassiaid.VMName
	query  cassiagateway.QueryID
	sent   time.Time
	pruned map[cassiaid.AttemptID]bool
	// prunedAbandoned is true once the client stopped waiting for a result that the aggregator prunes by. Results that
	// arrive later may lack records because that result contained greater ones, so pruned results are not used any
	// more.
	prunedAbandoned bool
}

// NewPaths returns Paths that send through node and report ended attempts to done. done must not call the Paths while
// it runs.
func NewPaths(node Node, done EndedFunc) *Paths {
	return &Paths{node: node, onEnded: done, pending: make(map[cassiaid.AttemptID]*pendingBatch), lastReceived: make(map[cassiaid.VMName]time.Time)}
}

// Send asks a VM to send the attempts of a batch. Each attempt is reported once to the EndedFunc.
func (p *Paths) Send(vm cassiaid.VMName, b Batch) {
	now := time.Now()
	batch := &pendingBatch{vm: vm, query: b.Query, sent: now, pruned: make(map[cassiaid.AttemptID]bool)}
	ids := make([]cassiaid.AttemptID, 0, len(b.Attempts))
	p.mutex.Lock()
	for _, a := range b.Attempts {
		p.pending[a.ID] = batch
		batch.pruned[a.ID] = !a.Whole
		ids = append(ids, a.ID)
	}
	p.mutex.Unlock()
	p.group.Go(func() error {
		ctx, cancel := context.WithDeadline(context.Background(), b.Call.Deadline)
		defer cancel()
		if err := p.node.Send(ctx, vm, uint64(b.Query), b.encode(now)); err != nil {
			p.endAll(ids, cassiagateway.OutcomeAggregatorLost)
			return nil
		}
		time.AfterFunc(time.Until(b.Call.Deadline)+resultGrace, func() {
			if p.endAll(ids, cassiagateway.OutcomeSilent) > 0 {
				p.dropIfSilent(batch)
			}
		})
		return nil
	})
}

// Cancel ends an attempt that was sent through another VM. It returns false if no such attempt is pending.
func (p *Paths) Cancel(id cassiaid.AttemptID) bool {
	p.mutex.Lock()
	batch := p.pending[id]
	p.mutex.Unlock()
	if batch == nil {
		return false
	}
	p.group.Go(func() error {
		if p.endAll([]cassiaid.AttemptID{id}, cassiagateway.OutcomeSilent) > 0 {
			p.dropIfSilent(batch)
		}
		cancel := &cassiaschema.AggregateCancel{QueryId: uint64(batch.query), AttemptIds: []uint64{uint64(id)}}
		ctx, stop := context.WithTimeout(context.Background(), resultGrace)
		defer stop()
		// If the message is lost, the attempt runs until its deadline.
		_ = p.node.Send(ctx, batch.vm, uint64(batch.query),
			&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateCancel{AggregateCancel: cancel}})
		return nil
	})
	return true
}

// connectTimeout bounds the opening of a connection by Warm.
const connectTimeout = 2 * time.Second

// Warm opens the connection to a VM ahead of its first batch.
func (p *Paths) Warm(vm cassiaid.VMName) {
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		// The frame cancels no attempt and only opens the connection. An error is ignored, since the first batch shows
		// whether the VM can be reached.
		_ = p.node.Send(ctx, vm, 0, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateCancel{
			AggregateCancel: &cassiaschema.AggregateCancel{}}})
		return nil
	})
}

// Drop closes the connection to a VM, so that the next batch opens a new one.
func (p *Paths) Drop(vm cassiaid.VMName) {
	p.group.Go(func() error { p.node.Drop(vm); return nil })
}

// Lost ends all attempts sent through a VM whose connection was lost.
func (p *Paths) Lost(vm cassiaid.VMName) {
	p.mutex.Lock()
	delete(p.lastReceived, vm)
	var ids []cassiaid.AttemptID
	for id, batch := range p.pending {
		if batch.vm == vm {
			ids = append(ids, id)
		}
	}
	p.mutex.Unlock()
	p.endAll(ids, cassiagateway.OutcomeAggregatorLost)
}

// dropIfSilent closes the connection to a VM that has returned nothing since a batch was sent at least silenceTimeout
// ago. The VM's process may have restarted, and a connection to the earlier process can stay open for long.
func (p *Paths) dropIfSilent(batch *pendingBatch) {
	p.mutex.Lock()
	silent := p.lastReceived[batch.vm].Before(batch.sent)
	p.mutex.Unlock()
	if silent && time.Since(batch.sent) >= silenceTimeout {
		p.node.Drop(batch.vm)
	}
}

// Results reports the results that a VM returned.
func (p *Paths) Results(vm cassiaid.VMName, m *cassiaschema.AggregateResults) {
	p.mutex.Lock()
	p.lastReceived[vm] = time.Now()
	p.mutex.Unlock()
	var all cassiagateway.AttemptsEnded
	for _, r := range m.GetResults() {
		id := cassiaid.AttemptID(m.GetFirstAttemptId() + r.GetNumber())
		batch := p.takePending(id, vm)
		if batch == nil {
			continue
		}
		ended := cassiagateway.AttemptEnded{Attempt: id, Outcome: cassiagateway.OutcomeAnswered}
		if r.GetFailure() != "" {
			ended.Outcome = cassiagateway.ParseOutcome(r.GetFailure())
		}
		switch {
		case ended.Outcome != cassiagateway.OutcomeAnswered:
		case p.hasAbandonedPruned(batch) && batch.pruned[id]:
			ended.Outcome = cassiagateway.OutcomeBroken
		default:
			ended.Reply = &cassiagateway.Reply{Stamp: r.GetStamp(), Body: r.GetRecords()}
		}
		all.Ended = append(all.Ended, ended)
	}
	if len(all.Ended) > 0 {
		p.onEnded(all)
	}
}

// takePending removes and returns a pending attempt's batch, or returns nil if the attempt is not pending at that VM.
func (p *Paths) takePending(id cassiaid.AttemptID, vm cassiaid.VMName) *pendingBatch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	batch := p.pending[id]
	if batch == nil || batch.vm != vm {
		return nil
	}
	delete(p.pending, id)
	return batch
}

func (p *Paths) hasAbandonedPruned(b *pendingBatch) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return b.prunedAbandoned
}

// endAll ends those of the attempts that are still pending and returns their number.
func (p *Paths) endAll(ids []cassiaid.AttemptID, outcome cassiagateway.Outcome) int {
	var all cassiagateway.AttemptsEnded
	for _, id := range ids {
		p.mutex.Lock()
		batch := p.pending[id]
		delete(p.pending, id)
		if batch != nil && batch.pruned[id] {
			batch.prunedAbandoned = true
		}
		p.mutex.Unlock()
		if batch != nil {
			all.Ended = append(all.Ended, cassiagateway.AttemptEnded{Attempt: id, Outcome: outcome})
		}
	}
	if len(all.Ended) > 0 {
		p.onEnded(all)
	}
	return len(all.Ended)
}
