package cassiagossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
)

// Config describes this VM to its peers and names its local address and key file.
type Config struct {
	Name          cassiaid.VMName
	Region        cassiamember.Region
	Zone          cassiaid.Zone
	PeerAddress   string
	GossipAddress string
	// AdvertisedAddress is the address at which peers reach GossipAddress; the bound address when empty.
	AdvertisedAddress string
	ClusterKeyFile    string
}

// Gossip takes part in the membership protocol on behalf of this VM. Its methods may be called concurrently.
type Gossip struct {
	seeds  Seeds
	logger log.Logger
	scope  tally.Scope
	clock  clockwork.Clock
	tuning cassiamember.Tuning
	conn   net.PacketConn
	wrap   func(net.PacketConn) net.PacketConn
	keys   *keyring
	random *rand.Rand

	members atomic.Pointer[[]cassiamember.Member]

	mu          sync.Mutex
	core        *cassiamember.Membership
	subscribers []Subscriber
	// pendingEffects holds the effects that subscribers have not received yet; membersChanged is set when they have to
	// receive the member list too.
	pendingEffects []cassiamember.Effect
	membersChanged bool
	// wake holds an item while there is something to pass to subscribers.
	wake chan struct{}
}

// New reads the cluster key and binds the gossip address. It returns a *KeyError or an *AddressError if that fails. Run
// closes the socket when it ends; call it once.
func New(config Config, options ...Option) (*Gossip, error) {
	g := &Gossip{
		logger: log.NewNopLogger(),
		scope:  tally.NoopScope,
		clock:  clockwork.NewRealClock(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1),
	}
	for _, option := range options {
		option(g)
	}
	g.scope = g.scope.SubScope("gossip")
	keys, err := newKeyring(config.ClusterKeyFile, g.clock.Now())
	if err != nil {
		return nil, err
	}
	g.keys = keys
	if err := g.listen(config.GossipAddress); err != nil {
		return nil, err
	}
	g.core = cassiamember.New(cassiamember.Config{
		Self: cassiamember.Member{
			Name:          config.Name,
			Region:        config.Region,
			Zone:          config.Zone,
			PeerAddress:   cassiamember.Address(config.PeerAddress),
			GossipAddress: cassiamember.Address(cmp.Or(config.AdvertisedAddress, g.Address())),
		},
		Clock:  g.clock,
		Random: g.random,
		Tuning: g.tuning,
	})
	g.publishMembers()
	return g, nil
}

func (g *Gossip) listen(address string) error {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return &AddressError{Address: address, Cause: err}
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bound))
	if err != nil {
		return &AddressError{Address: address, Cause: err}
	}
	g.conn = conn
	if g.wrap != nil {
		g.conn = g.wrap(conn)
	}
	return nil
}

// Address returns the gossip address with the port that was bound.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Members returns the live members sorted by name, including this VM and members that are suspect or leaving.
func (g *Gossip) Members() []cassiamember.Member { return *g.members.Load() }

// Subscribe adds a subscriber to changes that are learned from now on.
func (g *Gossip) Subscribe(subscriber Subscriber) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, subscriber)
}

// SetSettingsGeneration announces to peers the generation of the settings that is in force on this VM.
func (g *Gossip) SetSettingsGeneration(generation cassiaid.Generation) {
	g.update(cassiamember.SettingsChanged{Generation: generation})
}

// AddQuarantine announces to peers that this VM quarantined a request fingerprint for the remaining time.
func (g *Gossip) AddQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	g.update(cassiamember.QuarantineAdded{Fingerprint: fingerprint, Remaining: remaining})
}

// AddLeavingTarget announces to peers that this VM saw a target leave, or come back when leaving is false. The
// announcement expires after the remaining time.
func (g *Gossip) AddLeavingTarget(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	g.update(cassiamember.TargetObserved{Target: target, Leaving: leaving, Remaining: remaining})
}

// LeavingTargets returns the targets that some VM saw leave, with the time for which that is still valid.
func (g *Gossip) LeavingTargets() []cassiamember.TargetLearned {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.LeavingTargets()
}

// Leave announces that this VM takes no new work. It continues to gossip until Run ends.
func (g *Gossip) Leave() { g.update(cassiamember.Leave{}) }

// SetIsolated announces that this VM reaches no target and takes no new work, or that it reaches targets again.
func (g *Gossip) SetIsolated(isolated bool) {
	g.update(cassiamember.IsolationChanged{Isolated: isolated})
}

// Run gossips until the context ends, then announces that this VM has stopped and closes the socket.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.runSubscribers(ctx) })
	group.Go(func() error { return g.tick(ctx) })
	group.Go(func() error { return g.pollSeeds(ctx) })
	group.Go(func() error { return g.watchKey(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		g.update(cassiamember.Stop{})
		return g.conn.Close()
	})
	return group.Wait()
}

// update passes a message to the membership core and carries out the effects that it returns.
func (g *Gossip) update(message cassiamember.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, viewChanged := message.(cassiamember.SettingsChanged)
	for _, effect := range g.core.Update(message) {
		switch effect := effect.(type) {
		case cassiamember.SendPacket:
			g.send(effect)
		case cassiamember.Count:
			g.scope.Counter(string(effect.Counter)).Inc(1)
		case cassiamember.MembersChanged:
			g.membersChanged, viewChanged = true, true
		case cassiamember.PeerSettings:
			g.pendingEffects, viewChanged = append(g.pendingEffects, effect), true
		default:
			g.pendingEffects = append(g.pendingEffects, effect)
		}
	}
	if viewChanged {
		g.publishMembers()
	}
	if g.membersChanged || len(g.pendingEffects) > 0 {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// publishMembers makes the core's current member list the result of Members.
func (g *Gossip) publishMembers() {
	members := g.core.Members()
	g.members.Store(&members)
}

// send encrypts and sends a packet. A failure is only counted: the protocol treats the packet as lost in the network.
func (g *Gossip) send(effect cassiamember.SendPacket) {
	to, err := netip.ParseAddrPort(string(effect.To))
	if err != nil {
		g.countRefused(badPacket)
		return
	}
	sealed, refused := g.keys.seal(effect.Packet)
	if refused != accepted {
		g.countRefused(refused)
		return
	}
	if _, err := g.conn.WriteTo(sealed, net.UDPAddrFromAddrPort(to)); err != nil {
		g.countRefused(sendFailed)
		return
	}
	g.scope.Counter("packetsSent").Inc(1)
	g.scope.Counter("bytesSent").Inc(int64(len(sealed)))
}

func (g *Gossip) countRefused(reason refusal) {
	g.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

// receive decrypts datagrams and passes them to the core until the socket is closed.
func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		length, from, err := g.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read gossip datagram; restart the VM")
		}
		source := addressOf(from)
		g.scope.Counter("packetsReceived").Inc(1)
		g.scope.Counter("bytesReceived").Inc(int64(length))
		p, refused := g.keys.open(buffer[:length], g.clock.Now())
		if refused != accepted {
			g.countRefused(refused)
			_ = level.Debug(g.logger).Log("message", "gossip datagram dropped", "reason", string(refused), "source", source.String())
			continue
		}
		g.update(cassiamember.Packet{Source: cassiamember.Address(source.String()), Packet: p})
	}
}

// addressOf returns the sender's address with an IPv4-mapped IP unmapped; the zero value if it is not a UDP address.
func addressOf(from net.Addr) netip.AddrPort {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	source := udp.AddrPort()
	return netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
}

// tick sends a Tick to the core at every TickInterval.
func (g *Gossip) tick(ctx context.Context) error {
	ticker := g.clock.NewTicker(cassiamember.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			g.update(cassiamember.Tick{})
		}
	}
}

// runSubscribers calls the subscribers whenever there are pending effects, without holding the lock.
func (g *Gossip) runSubscribers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
			g.notifySubscribers()
		}
	}
}

func (g *Gossip) notifySubscribers() {
	g.mu.Lock()
	subscribers, effects, membersChanged := g.subscribers, g.pendingEffects, g.membersChanged
	g.pendingEffects, g.membersChanged = nil, false
	g.mu.Unlock()
	for _, s := range subscribers {
		if membersChanged && s.Members != nil {
			s.Members(g.Members())
		}
		for _, effect := range effects {
			s.notify(effect)
		}
	}
}

// keyCheckInterval is the interval at which the cluster key file is checked for changes.
const keyCheckInterval = time.Second

// watchKey reloads the cluster keys when the content of their file changes.
func (g *Gossip) watchKey(ctx context.Context) error {
	ticker := g.clock.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			changed, err := g.keys.reload(g.clock.Now())
			if err != nil {
				g.scope.Counter("keyReloadFailed").Inc(1)
				_ = level.Error(g.logger).Log("message", "cluster key reload failed, previous keys stay in use", "error", err)
			}
			if changed {
				_ = level.Info(g.logger).Log("message", "cluster key reloaded")
			}
		}
	}
}
