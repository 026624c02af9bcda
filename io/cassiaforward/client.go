package cassiaforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// replyGrace is how long after its deadline a request may still be answered.
const replyGrace = 150 * time.Millisecond

// Node sends frames to other VMs; *cassiapeer.Node implements it.
type Node interface {
	Send(ctx context.Context, vm cassiaid.VMName, lane uint64, frame *cassiaschema.PeerFrame) error
}

// UpdateFunc receives what becomes of forwarded queries.
type UpdateFunc func(cassiagateway.Message)

// Client passes requests to other VMs. It is safe for concurrent use.
type Client struct {
	// OnMalformedStatus, if not nil, is called for each answer whose status is malformed. It must be set before the first request.
	OnMalformedStatus func(vm cassiaid.VMName, status uint32)

	node   Node
	update UpdateFunc
	group  errgroup.Group

	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]*pendingForward
	// latest holds the last forward of each query that has pending ones.
	latest map[cassiagateway.QueryID]uint64
}

// pendingForward is a request that another VM has not answered yet.
type pendingForward struct {
	query cassiagateway.QueryID
	vm    cassiaid.VMName
	// sent is true once the request may have left this VM; stop ends an attempt to send it.
	sent bool
	stop context.CancelFunc
}

// NewClient returns a Client that sends through node. update must not call the Client while it runs.
func NewClient(node Node, update UpdateFunc) *Client {
	// The ids start at a random number, since other VMs may still hold ids of an earlier process of this VM.
	return &Client{node: node, update: update, lastID: uint64(rand.Uint32()) << 16, pending: make(map[uint64]*pendingForward),
		latest: make(map[cassiagateway.QueryID]uint64)}
}

// Send passes a request to a VM without blocking. A ForwardEnded follows.
func (c *Client) Send(vm cassiaid.VMName, query cassiagateway.QueryID, r Request) {
	ctx, stop := context.WithDeadline(context.Background(), r.Call.Deadline)
	c.mutex.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id], c.latest[query] = &pendingForward{query: query, vm: vm, stop: stop}, id
	c.mutex.Unlock()
	c.group.Go(func() error {
		defer stop()
		err := c.node.Send(ctx, vm, id, r.encode(id, time.Now()))
		switch {
		case errors.Is(err, cassiapeer.ErrNotSent):
			c.end(id, Result{Outcome: cassiagateway.ForwardDeclined})
		case err != nil:
			c.end(id, Result{Outcome: cassiagateway.ForwardLost})
		case c.markSent(id):
			time.AfterFunc(time.Until(r.Call.Deadline)+replyGrace, func() { c.end(id, Result{Outcome: cassiagateway.ForwardLost}) })
		default:
			c.sendCancel(vm, id)
		}
		return nil
	})
}

// markSent records that a request has left this VM; it returns false if the request was cancelled meanwhile.
func (c *Client) markSent(id uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending[id] != nil {
		c.pending[id].sent = true
	}
	return c.pending[id] != nil
}

// Cancel takes the request of a query back from the VM that it was passed to last, without blocking.
func (c *Client) Cancel(query cassiagateway.QueryID) {
	c.mutex.Lock()
	id := c.latest[query]
	f := c.pending[id]
	sent := f != nil && f.sent
	c.mutex.Unlock()
	switch {
	case f == nil:
	case !sent:
		// Send tells whether the request has left this VM.
		f.stop()
	default:
		c.group.Go(func() error {
			c.end(id, Result{Outcome: cassiagateway.ForwardLost})
			c.sendCancel(f.vm, id)
			return nil
		})
	}
}

// sendCancel tells a VM that a request is no longer wanted. If the message is lost, the request runs until its deadline.
func (c *Client) sendCancel(vm cassiaid.VMName, id uint64) {
	ctx, stop := context.WithTimeout(context.Background(), replyGrace)
	defer stop()
	_ = c.node.Send(ctx, vm, id, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ForwardedCancel{
		ForwardedCancel: &cassiaschema.ForwardedCancel{ForwardId: id}}})
}

// HandleReply takes the reply of a VM to a request.
func (c *Client) HandleReply(from cassiaid.VMName, m *cassiaschema.ForwardedReply) {
	c.mutex.Lock()
	f := c.pending[m.GetForwardId()]
	c.mutex.Unlock()
	switch {
	case f == nil || f.vm != from:
	case m.GetState() == cassiaschema.ForwardedReply_STATE_ACCEPTED:
		c.update(cassiagateway.ForwardAccepted{Query: f.query, VM: from})
	default:
		result := decodeResult(m)
		if m.GetState() == cassiaschema.ForwardedReply_STATE_ANSWERED && result.Reply == nil && c.OnMalformedStatus != nil {
			c.OnMalformedStatus(from, m.GetStatus())
		}
		c.end(m.GetForwardId(), result)
	}
}

// PeerLost ends the requests that were passed to a VM whose connection was lost.
func (c *Client) PeerLost(vm cassiaid.VMName) {
	c.mutex.Lock()
	var lost []uint64
	for id, f := range c.pending {
		if f.vm == vm && f.sent {
			lost = append(lost, id)
		}
	}
	c.mutex.Unlock()
	for _, id := range lost {
		c.end(id, Result{Outcome: cassiagateway.ForwardLost})
	}
}

// end reports the result of a request that is still pending.
func (c *Client) end(id uint64, r Result) {
	c.mutex.Lock()
	f := c.pending[id]
	delete(c.pending, id)
	if f != nil && c.latest[f.query] == id {
		delete(c.latest, f.query)
	}
	c.mutex.Unlock()
	if f != nil {
		c.update(cassiagateway.ForwardEnded{Query: f.query, VM: f.vm, Outcome: r.Outcome, Reply: r.Reply, Statements: r.Statements})
	}
}
