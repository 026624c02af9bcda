package cassiabench

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cassiasaddle/io/cassiatarget"
	"cassiasaddle/standin/cassiarelay"
)

// minRetransmissionTimeout is the delay that a lost packet adds to a TCP exchange: the minimum retransmission timeout
// of Linux.
const minRetransmissionTimeout = 200 * time.Millisecond

// linkProperties describes the links of a deployment: one-way delays, and the jitter and packet loss between
// availability zones.
type linkProperties struct {
	// BetweenZones is the one-way delay between availability zones.
	BetweenZones time.Duration
	// ToClients is the one-way delay between callers and VMs.
	ToClients time.Duration
	// Jitter is the largest random delay added between availability zones.
	Jitter time.Duration
	// Loss is the fraction of packets lost between availability zones.
	Loss float64
}

// links simulates the links of a deployment during a run, including zones that are cut off and VMs that are cut off from all
// targets.
type links struct {
	linkProperties

	mu     sync.Mutex
	random *rand.Rand
	cut    map[string]bool
	// stranded holds a channel for each VM that is cut off from all targets, which is closed when it is reconnected.
	stranded map[string]chan struct{}
}

func newLinks(d linkProperties, seed uint64) *links {
	return &links{linkProperties: d, random: rand.New(rand.NewPCG(seed, 4)), cut: map[string]bool{}, stranded: map[string]chan struct{}{}}
}

// setCut cuts an availability zone off from the others, or reconnects it.
func (l *links) setCut(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[zone] = cut
}

// setStranded cuts a VM off from all targets, or reconnects it.
func (l *links) setStranded(vm string, stranded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reconnected := l.stranded[vm]
	switch {
	case stranded && reconnected == nil:
		l.stranded[vm] = make(chan struct{})
	case !stranded && reconnected != nil:
		close(reconnected)
		delete(l.stranded, vm)
	}
}

// waitForTargets waits until a VM is not cut off from the targets, or returns net.ErrClosed when given is closed.
func (l *links) waitForTargets(vm string, given <-chan struct{}) error {
	l.mu.Lock()
	reconnected := l.stranded[vm]
	l.mu.Unlock()
	if reconnected == nil {
		return nil
	}
	select {
	case <-reconnected:
		return nil
	case <-given:
		return net.ErrClosed
	}
}

// dialTarget returns a function that opens a VM's connections to targets. While the VM is cut off they hang, new and old ones.
func (l *links) dialTarget(vm string) cassiatarget.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := l.waitForTargets(vm, ctx.Done()); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &targetConn{Conn: conn, links: l, vm: vm, closed: make(chan struct{})}, nil
	}
}

// targetConn is a VM's connection to a target that hangs while the VM is cut off.
type targetConn struct {
	net.Conn
	links  *links
	vm     string
	once   sync.Once
	closed chan struct{}
}

// Read returns what has arrived once the VM is connected.
func (c *targetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cutErr := c.links.waitForTargets(c.vm, c.closed); cutErr != nil {
		return 0, cutErr
	}
	return n, err
}

// Write sends once the VM is connected.
func (c *targetConn) Write(b []byte) (int, error) {
	if err := c.links.waitForTargets(c.vm, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and ends calls that hang.
func (c *targetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// faults returns the faults of datagrams from one availability zone to another: none within a zone.
func (l *links) faults(from, to string) cassiarelay.Faults {
	if from == to {
		return cassiarelay.Faults{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return cassiarelay.Faults{
		DelayMs:  float64(l.BetweenZones) / float64(time.Millisecond),
		JitterMs: float64(l.Jitter) / float64(time.Millisecond),
		Loss:     l.Loss,
		Cut:      l.cut[from] || l.cut[to],
	}
}

// waitOneWay waits for the one-way delay of a TCP exchange between availability zones. If either zone is cut off, it
// waits until the context ends.
func (l *links) waitOneWay(ctx context.Context, from, to string) {
	f := l.faults(from, to)
	if f == (cassiarelay.Faults{}) {
		return
	}
	if f.Cut {
		<-ctx.Done()
		return
	}
	l.mu.Lock()
	delay := l.BetweenZones + time.Duration(l.random.Float64()*float64(l.Jitter))
	if l.random.Float64() < l.Loss {
		delay += minRetransmissionTimeout
	}
	l.mu.Unlock()
	wait(ctx, delay)
}

// waitToClient waits for the one-way delay between a caller and the VMs.
func (l *links) waitToClient(ctx context.Context) { wait(ctx, l.ToClients) }

// wait returns after d or when the context ends, whichever is first.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
