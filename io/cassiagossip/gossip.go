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

// Config describes this VM to its peers.
type Config struct {
	Name          cassiaid.VMName
	Region        cassiamember.Region
	Zone          cassiaid.Zone
	PeerAddress   string
	GossipAddress string
	// AdvertisedAddress is where others reach GossipAddress; GossipAddress when empty.
	AdvertisedAddress string
	ClusterKeyFile    string
}

// Gossip keeps this VM's membership.
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
	// learned waits to be told to subscribers, and membersChanged tells that Members is to be told too.
	learned        []cassiamember.Effect
	membersChanged bool
	// wake holds an item while something waits for subscribers.
	wake chan struct{}
}

// New reads the cluster key and opens the gossip address; Run closes it.
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
	g.publish()
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

// Address returns the gossip address with the port that was opened.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Members returns the live members in the order of their names, this VM with them; some may be suspect or leaving.
func (g *Gossip) Members() []cassiamember.Member { return *g.members.Load() }

// Subscribe adds a receiver of what is learned from now on.
func (g *Gossip) Subscribe(subscriber Subscriber) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, subscriber)
}

// SetSettingsGeneration tells the peers which generation of the settings is in force on this VM.
func (g *Gossip) SetSettingsGeneration(generation cassiaid.Generation) {
	g.update(cassiamember.SettingsChanged{Generation: generation})
}

// AddQuarantine tells the peers that this VM quarantined a request fingerprint.
func (g *Gossip) AddQuarantine(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	g.update(cassiamember.QuarantineAdded{Fingerprint: fingerprint, Remaining: remaining})
}

// AddLeavingTarget tells the peers that this VM saw a target leave, or come back when leaving is false.
func (g *Gossip) AddLeavingTarget(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	g.update(cassiamember.TargetObserved{Target: target, Leaving: leaving, Remaining: remaining})
}

// Leave announces first-hand that this VM takes no new work; it goes on gossiping until Run ends.
func (g *Gossip) Leave() { g.update(cassiamember.Leave{}) }

// Run gossips until the context ends, then announces that this VM is gone.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.tell(ctx) })
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

// update passes a message to the core and does what it asks for.
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
			g.learned, viewChanged = append(g.learned, effect), true
		default:
			g.learned = append(g.learned, effect)
		}
	}
	if viewChanged {
		g.publish()
	}
	if g.membersChanged || len(g.learned) > 0 {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// publish makes Members return the core's view.
func (g *Gossip) publish() {
	members := g.core.Members()
	g.members.Store(&members)
}

// send seals and writes a packet; one that cannot be sent counts as lost on the way.
func (g *Gossip) send(effect cassiamember.SendPacket) {
	to, err := netip.ParseAddrPort(string(effect.To))
	if err != nil {
		g.refuse(badPacket)
		return
	}
	sealed, refused := g.keys.seal(effect.Packet)
	if refused != accepted {
		g.refuse(refused)
		return
	}
	if _, err := g.conn.WriteTo(sealed, net.UDPAddrFromAddrPort(to)); err != nil {
		g.refuse(sendFailed)
		return
	}
	g.scope.Counter("packetsSent").Inc(1)
	g.scope.Counter("bytesSent").Inc(int64(len(sealed)))
}

func (g *Gossip) refuse(reason refusal) {
	g.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

// receive opens datagrams and passes them to the core until the socket is closed.
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
			g.refuse(refused)
			_ = level.Debug(g.logger).Log("message", "gossip datagram refused", "reason", string(refused), "source", source.String())
			continue
		}
		g.update(cassiamember.Packet{Source: cassiamember.Address(source.String()), Packet: p})
	}
}

// addressOf returns where a datagram came from.
func addressOf(from net.Addr) netip.AddrPort {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	source := udp.AddrPort()
	return netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
}

// tick passes the time to the core.
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

// tell passes what was learned to the subscribers, outside of the lock.
func (g *Gossip) tell(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
			g.tellLearned()
		}
	}
}

func (g *Gossip) tellLearned() {
	g.mu.Lock()
	subscribers, learned, membersChanged := g.subscribers, g.learned, g.membersChanged
	g.learned, g.membersChanged = nil, false
	g.mu.Unlock()
	for _, s := range subscribers {
		if membersChanged && s.Members != nil {
			s.Members(g.Members())
		}
		for _, effect := range learned {
			s.notify(effect)
		}
	}
}

// keyCheckInterval is the time between two looks at the cluster key file.
const keyCheckInterval = time.Second

// watchKey reads the cluster key again when its file is replaced.
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
				_ = level.Error(g.logger).Log("message", "cluster key not read again", "error", err)
			}
			if changed {
				_ = level.Info(g.logger).Log("message", "cluster key read again")
			}
		}
	}
}
