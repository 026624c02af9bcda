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
	ctx      context.Context
	stop     context.CancelFunc
	group    errgroup.Group

	mu    sync.Mutex
	lines map[string]*line
}

// WrapPacketConn returns a socket that plays the faults which faultsTo gives for each destination. Delays apply one
// way, so both ends of a link are to be wrapped.
func WrapPacketConn(conn net.PacketConn, faultsTo func(peer net.Addr) Faults, seed uint64) *PacketConn {
	ctx, stop := context.WithCancel(context.Background())
	c := &PacketConn{PacketConn: conn, faultsTo: faultsTo, ctx: ctx, stop: stop, lines: map[string]*line{}}
	c.policy.random = rand.New(rand.NewPCG(seed, 1))
	c.policy.changed = func() {}
	return c
}

// WriteTo sends a datagram, or lets it be lost, late, doubled or overtaken.
func (c *PacketConn) WriteTo(content []byte, peer net.Addr) (int, error) {
	faults := c.faultsTo(peer)
	if faults == (Faults{}) {
		return c.PacketConn.WriteTo(content, peer)
	}
	for _, delay := range c.policy.fateUnder(faults, len(content), false, false) {
		c.lineTo(peer).add(append([]byte{}, content...), delay)
	}
	return len(content), nil
}

// lineTo returns the line to a destination, a new one at its first use.
func (c *PacketConn) lineTo(peer net.Addr) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lines[peer.String()]
	if l == nil {
		l = newLine(false)
		if c.ctx.Err() != nil {
			return l
		}
		c.lines[peer.String()] = l
		c.group.Go(func() error {
			l.run(c.ctx, func(content []byte) error {
				_, _ = c.PacketConn.WriteTo(content, peer)
				return nil
			})
			return nil
		})
	}
	return l
}

// Close closes the socket; datagrams on their way are lost.
func (c *PacketConn) Close() error {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	err := c.PacketConn.Close()
	_ = c.group.Wait()
	return err
}
