package cassiarelay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// PacketConn is a datagram socket whose sent datagrams suffer faults by their destination.
type PacketConn struct {
	net.PacketConn
	faultsTo func(peer net.Addr) Faults
	policy   policy
	group    errgroup.Group

	mu     sync.Mutex
	queues map[string]*delayQueue
	closed bool
}

// WrapPacketConn returns a socket that plays the faults which faultsTo gives for each destination. Delays apply one
// way, so both ends of a link are to be wrapped.
func WrapPacketConn(conn net.PacketConn, faultsTo func(peer net.Addr) Faults, seed uint64) *PacketConn {
	c := &PacketConn{PacketConn: conn, faultsTo: faultsTo, queues: map[string]*delayQueue{}}
	c.policy.random = rand.New(rand.NewPCG(seed, 1))
	c.policy.onChange = func() {}
	return c
}

// WriteTo sends a datagram, or lets it be lost, late, doubled or overtaken.
func (c *PacketConn) WriteTo(content []byte, peer net.Addr) (int, error) {
	faults := c.faultsTo(peer)
	if faults == (Faults{}) {
		return c.PacketConn.WriteTo(content, peer)
	}
	for _, delay := range c.policy.drawDelays(faults, len(content), false, false) {
		c.queueFor(peer).add(append([]byte{}, content...), delay)
	}
	return len(content), nil
}

// queueFor returns the line to a destination, a new one at its first use.
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

// Close delivers the datagrams on their way and closes the socket.
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
