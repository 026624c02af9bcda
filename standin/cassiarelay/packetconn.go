package cassiarelay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// PacketConn is a datagram socket that applies faults to the datagrams it sends, by their destination.
type PacketConn struct {
	net.PacketConn
	faultsTo func(peer net.Addr) Faults
	state    linkState
	group    errgroup.Group

	mu     sync.Mutex
	queues map[string]*delayQueue
	closed bool
}

// WrapPacketConn returns a socket that applies the faults of faultsTo to the datagrams sent to each peer. Received
// datagrams are unchanged, so wrap the sockets of both ends for faults in both directions.
func WrapPacketConn(conn net.PacketConn, faultsTo func(peer net.Addr) Faults, seed uint64) *PacketConn {
	c := &PacketConn{PacketConn: conn, faultsTo: faultsTo, queues: map[string]*delayQueue{}}
	c.state.random = rand.New(rand.NewPCG(seed, 1))
	c.state.onChange = func() {}
	return c
}

// WriteTo sends a datagram subject to the faults of its destination. It reports a lost datagram as sent.
func (c *PacketConn) WriteTo(content []byte, peer net.Addr) (int, error) {
	faults := c.faultsTo(peer)
	if faults == (Faults{}) {
		return c.PacketConn.WriteTo(content, peer)
	}
	for _, delay := range c.state.drawDelays(faults, len(content), false, false) {
		c.queueFor(peer).add(append([]byte{}, content...), delay)
	}
	return len(content), nil
}

// queueFor returns the queue to a destination and creates it at the first use. After Close, a new queue is never
// delivered.
func (c *PacketConn) queueFor(peer net.Addr) *delayQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[peer.String()]
	if queue == nil {
		queue = newDelayQueue(false)
		if c.closed {
			return queue
		}
		c.queues[peer.String()] = queue
		c.group.Go(func() error {
			queue.run(context.Background(), func(content []byte) error {
				_, _ = c.PacketConn.WriteTo(content, peer)
				return nil
			})
			return nil
		})
	}
	return queue
}

// Close waits until all queued datagrams are sent and closes the socket.
func (c *PacketConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, queue := range c.queues {
		queue.close()
	}
	c.mu.Unlock()
	_ = c.group.Wait()
	return c.PacketConn.Close()
}
