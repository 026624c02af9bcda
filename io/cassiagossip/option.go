package cassiagossip

import (
	"context"
	"net"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiamember"
)

// Seeds lists VMs to which a join request may be sent, such as the platform's VM list.
type Seeds interface {
	Seeds(ctx context.Context) ([]cassiamember.Seed, error)
}

// SeedsFunc adapts a function to Seeds.
type SeedsFunc func(ctx context.Context) ([]cassiamember.Seed, error)

// Seeds calls the function.
func (f SeedsFunc) Seeds(ctx context.Context) ([]cassiamember.Seed, error) { return f(ctx) }

// Option configures a Gossip.
type Option func(*Gossip)

// WithSeeds sets the source of seeds. A VM polls it while it has no peers or is one of the pollers of its zone; without
// a source it polls nothing.
func WithSeeds(seeds Seeds) Option { return func(g *Gossip) { g.seeds = seeds } }

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(g *Gossip) { g.logger = logger } }

// WithMetrics sets the scope of the counters.
func WithMetrics(scope tally.Scope) Option { return func(g *Gossip) { g.scope = scope } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(g *Gossip) { g.clock = clock } }

// WithTuning sets the intervals and limits of the membership protocol.
func WithTuning(tuning cassiamember.Tuning) Option { return func(g *Gossip) { g.tuning = tuning } }

// WithPacketConn sets a function that wraps the UDP socket, for example to inject faults.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(g *Gossip) { g.wrap = wrap }
}
