package cassiaaggregate

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// resultGrace is how long after its deadline the result of an attempt may still arrive.
const resultGrace = 150 * time.Millisecond

// silenceTimeout is how long a VM must have returned no results since a batch was sent to it before its connection is
// closed. It is longer than the pauses of targets, so that a pause alone does not close the connection.
const silenceTimeout = 500 * time.Millisecond

// Node sends frames to other VMs and closes connections to them. *cassiapeer.Node implements it.
type Node interface {
	Send(ctx context.Context, vm cassiaid.VMName, lane uint64, frame *cassiaschema.PeerFrame) error
	Drop(vm cassiaid.VMName)
}

// EndedFunc receives the attempts that ended together.
type EndedFunc func(cassiagateway.AttemptsEnded)

// Client sends batches to aggregators on other VMs and passes on the results. It is safe for concurrent use.
type Client struct {
	node    Node
	onEnded EndedFunc
	group   errgroup.Group

	mutex   sync.Mutex
	pending map[cassiaid.AttemptID]*pendingBatch
	// lastReceived is when results last arrived from a VM.
	lastReceived map[cassiaid.VMName]time.Time
	// lost holds the VMs whose connections were lost since KeepConnected last looked.
	lost map[cassiaid.VMName]bool
}

// pendingBatch is a batch that still has attempts without a result.
type pendingBatch struct {
	vm     cassiaid.VMName
	query  cassiagateway.QueryID
	sent   time.Time
	pruned map[cassiaid.AttemptID]bool
	// prunedAbandoned is true once the Client stopped waiting for a pruned result. The aggregator may have left records
	// out of the other pruned results because the abandoned one has greater records, so pruned results that arrive
	// later are not used.
	prunedAbandoned bool
}

// NewClient returns a Client that sends through node and reports ended attempts to onEnded. onEnded must not call the
// Client while it runs.
func NewClient(node Node, onEnded EndedFunc) *Client {
	return &Client{node: node, onEnded: onEnded, pending: make(map[cassiaid.AttemptID]*pendingBatch),
		lastReceived: make(map[cassiaid.VMName]time.Time), lost: make(map[cassiaid.VMName]bool)}
}

// Send asks a VM to send the attempts of a batch. Each attempt is reported once to the EndedFunc.
func (c *Client) Send(vm cassiaid.VMName, b Batch) {
	now := time.Now()
	batch := &pendingBatch{vm: vm, query: b.Query, sent: now, pruned: make(map[cassiaid.AttemptID]bool)}
	ids := make([]cassiaid.AttemptID, 0, len(b.Attempts))
	c.mutex.Lock()
	for _, a := range b.Attempts {
		c.pending[a.ID] = batch
		batch.pruned[a.ID] = !a.Unpruned
		ids = append(ids, a.ID)
	}
	c.mutex.Unlock()
	c.group.Go(func() error {
		ctx, cancel := context.WithDeadline(context.Background(), b.Call.Deadline)
		defer cancel()
		if err := c.node.Send(ctx, vm, uint64(b.Query), b.encode(now)); err != nil {
			c.endAll(ids, cassiagateway.OutcomeAggregatorLost)
			return nil
		}
		time.AfterFunc(time.Until(b.Call.Deadline)+resultGrace, func() {
			if c.endAll(ids, cassiagateway.OutcomeSilent) > 0 {
				c.dropIfSilent(batch)
			}
		})
		return nil
	})
}

// Cancel ends an attempt that was sent through another VM. It returns false if no such attempt is pending.
func (c *Client) Cancel(id cassiaid.AttemptID) bool {
	c.mutex.Lock()
	batch := c.pending[id]
	c.mutex.Unlock()
	if batch == nil {
		return false
	}
	c.group.Go(func() error {
		if c.endAll([]cassiaid.AttemptID{id}, cassiagateway.OutcomeSilent) > 0 {
			c.dropIfSilent(batch)
		}
		cancel := &cassiaschema.AggregateCancel{QueryId: uint64(batch.query), AttemptIds: []uint64{uint64(id)}}
		ctx, stop := context.WithTimeout(context.Background(), resultGrace)
		defer stop()
		// If the message is lost, the attempt runs until its deadline.
		_ = c.node.Send(ctx, batch.vm, uint64(batch.query),
			&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateCancel{AggregateCancel: cancel}})
		return nil
	})
	return true
}

// connectTimeout bounds the opening of a connection by Warm.
const connectTimeout = 2 * time.Second

// Warm opens the connection to a VM ahead of its first frame, or keeps it from ending unused.
func (c *Client) Warm(vm cassiaid.VMName) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		// The frame cancels no attempt. An error is ignored, since the next frame shows whether the VM can be reached.
		_ = c.node.Send(ctx, vm, 0, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateCancel{
			AggregateCancel: &cassiaschema.AggregateCancel{}}})
		return nil
	})
}

const (
	// connectInterval is how often KeepConnected looks for VMs to which there is no connection.
	connectInterval = time.Second
	// keepAliveInterval is how often it sends a frame to each VM, well within the time after which unused connections end.
	keepAliveInterval = 20 * time.Second
	// maxOpenedTogether is how many connections it opens in a connectInterval. A handshake takes a small VM several milliseconds,
	// during which its callers wait.
	maxOpenedTogether = 8
)

// KeepConnected opens connections to other VMs and keeps them open until ctx is done, so that neither the first notice of a loss nor a
// fan-out waits for a connection. vms returns the VMs; those at the front are connected first.
func (c *Client) KeepConnected(ctx context.Context, vms func() []cassiaid.VMName) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	warmedAt := make(map[cassiaid.VMName]time.Time)
	for {
		listed := make(map[cassiaid.VMName]time.Time)
		lost, opened := c.takeLost(), 0
		for _, vm := range vms() {
			at, known := warmedAt[vm]
			opens := !known || lost[vm]
			if opens {
				opened++
			}
			switch {
			case opens && opened > maxOpenedTogether:
			case opens || time.Since(at) >= keepAliveInterval:
				listed[vm] = time.Now()
				c.Warm(vm)
			default:
				listed[vm] = at
			}
		}
		warmedAt = listed
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// takeLost returns the VMs whose connections were lost since the last call.
func (c *Client) takeLost() map[cassiaid.VMName]bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lost := c.lost
	c.lost = make(map[cassiaid.VMName]bool)
	return lost
}

// Drop closes the connection to a VM, so that the next batch opens a new one.
func (c *Client) Drop(vm cassiaid.VMName) {
	c.group.Go(func() error { c.node.Drop(vm); return nil })
}

// PeerLost ends all attempts sent through a VM whose connection was lost.
func (c *Client) PeerLost(vm cassiaid.VMName) {
	c.mutex.Lock()
	delete(c.lastReceived, vm)
	c.lost[vm] = true
	var ids []cassiaid.AttemptID
	for id, batch := range c.pending {
		if batch.vm == vm {
			ids = append(ids, id)
		}
	}
	c.mutex.Unlock()
	c.endAll(ids, cassiagateway.OutcomeAggregatorLost)
}

// dropIfSilent closes the connection to a VM that has returned nothing since a batch was sent at least silenceTimeout
// ago. The VM's process may have restarted, and a connection to the earlier process can stay open for long.
func (c *Client) dropIfSilent(batch *pendingBatch) {
	c.mutex.Lock()
	silent := c.lastReceived[batch.vm].Before(batch.sent)
	c.mutex.Unlock()
	if silent && time.Since(batch.sent) >= silenceTimeout {
		c.node.Drop(batch.vm)
	}
}

// Results reports the results that a VM returned.
func (c *Client) Results(vm cassiaid.VMName, m *cassiaschema.AggregateResults) {
	c.mutex.Lock()
	c.lastReceived[vm] = time.Now()
	c.mutex.Unlock()
	var all cassiagateway.AttemptsEnded
	for _, r := range m.GetResults() {
		id := cassiaid.AttemptID(m.GetFirstAttemptId() + r.GetNumber())
		batch := c.takePending(id, vm)
		if batch == nil {
			continue
		}
		ended := cassiagateway.AttemptEnded{Attempt: id, Outcome: cassiagateway.OutcomeAnswered,
			Acceptance: cassiabudget.AcceptanceFrom(r.GetAcceptance()), Statement: cassiaavailability.StatementFrom(r.GetAvailability())}
		if r.GetFailure() != "" {
			ended.Outcome = cassiagateway.ParseOutcome(r.GetFailure())
		}
		switch {
		case ended.Outcome != cassiagateway.OutcomeAnswered:
		case c.hasAbandonedPruned(batch) && batch.pruned[id]:
			ended.Outcome = cassiagateway.OutcomeBroken
		default:
			ended.Reply = &cassiagateway.Reply{Stamp: r.GetStamp(), Body: r.GetRecords()}
		}
		all.Ended = append(all.Ended, ended)
	}
	if len(all.Ended) > 0 {
		c.onEnded(all)
	}
}

// takePending removes and returns a pending attempt's batch, or returns nil if the attempt is not pending at that VM.
func (c *Client) takePending(id cassiaid.AttemptID, vm cassiaid.VMName) *pendingBatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	batch := c.pending[id]
	if batch == nil || batch.vm != vm {
		return nil
	}
	delete(c.pending, id)
	return batch
}

func (c *Client) hasAbandonedPruned(b *pendingBatch) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return b.prunedAbandoned
}

// endAll ends those of the attempts that are still pending and returns their number.
func (c *Client) endAll(ids []cassiaid.AttemptID, outcome cassiagateway.Outcome) int {
	var all cassiagateway.AttemptsEnded
	for _, id := range ids {
		c.mutex.Lock()
		batch := c.pending[id]
		delete(c.pending, id)
		if batch != nil && batch.pruned[id] {
			batch.prunedAbandoned = true
		}
		c.mutex.Unlock()
		if batch != nil {
			all.Ended = append(all.Ended, cassiagateway.AttemptEnded{Attempt: id, Outcome: outcome})
		}
	}
	if len(all.Ended) > 0 {
		c.onEnded(all)
	}
	return len(all.Ended)
}
