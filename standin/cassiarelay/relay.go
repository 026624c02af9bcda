package cassiarelay

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/rotisserie/eris"
)

// maxPartBytes is the largest datagram, and the most data of a stream, that a relay reads at once.
const maxPartBytes = 64 << 10

// Options configure a relay.
type Options struct {
	// Network is tcp or udp.
	Network string
	// Listen is the address, IP:port, on which the relay receives traffic for Upstream.
	Listen string
	// Upstream is the address to which the relay forwards the traffic.
	Upstream string
	Seed     uint64
	// StopWhenRefused makes a TCP relay stop to listen once Upstream refuses a connection, as the process there has ended then.
	StopWhenRefused bool
}

// Relay forwards traffic from one address to another while Run runs.
type Relay struct {
	options       Options
	state         linkState
	faultsChanged chan struct{}
}

// New returns a relay without faults; Run starts it.
func New(options Options) *Relay {
	r := &Relay{options: options, faultsChanged: make(chan struct{}, 1)}
	r.state.random = rand.New(rand.NewPCG(options.Seed, 1))
	r.state.onChange = func() {
		select {
		case r.faultsChanged <- struct{}{}:
		default:
		}
	}
	return r
}

// ListenAddress returns the address on which the relay listens while it runs.
func (r *Relay) ListenAddress() string { return r.options.Listen }

// SetFaults replaces the faults for senders without faults of their own.
func (r *Relay) SetFaults(faults Faults) { r.state.setDefault(faults) }

// SetFaultsFrom sets the faults for senders in a prefix, and for the replies to them. If prefixes overlap, the one that
// was set first applies.
func (r *Relay) SetFaultsFrom(prefix netip.Prefix, faults Faults) {
	r.state.setForPrefix(prefix, faults)
}

// Counters returns a copy of the relay's counters.
func (r *Relay) Counters() Counters {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.state.counters
}

// Run relays until the context is done. It calls ready once, when the relay listens.
func (r *Relay) Run(ctx context.Context, ready func()) error {
	switch r.options.Network {
	case "tcp":
		return r.runTCP(ctx, ready)
	case "udp":
		return r.runUDP(ctx, ready)
	}
	return eris.Errorf("network %q is not supported; use tcp or udp", r.options.Network)
}
