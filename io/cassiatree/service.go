package cassiatree

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
)

const (
	tickInterval     = 200 * time.Millisecond
	defaultWatchWait = 20 * time.Second
	peerTimeout      = 2 * time.Second
	inboxCapacity    = 1024
	// maxParallelCalls bounds how many peers are called at the same time.
	maxParallelCalls = 16
)

// Store is the key-value store that holds the settings.
type Store interface {
	Get(ctx context.Context, key string) (cassiastore.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision cassiastore.Revision,
		options ...cassiastore.PutOption) (cassiastore.Revision, error)
	Watch(ctx context.Context, key string, after cassiastore.Revision, wait time.Duration) (cassiastore.Entry, bool, error)
}

// Peers sends frames to other VMs.
type Peers interface {
	// Send sends a frame that needs no reply.
	Send(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) error
	// Exchange sends a frame and waits for the reply.
	Exchange(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
}

// Members lists the live VMs.
type Members interface {
	// Live returns the live VMs with the settings generation that each last reported.
	Live() []cassiasettings.Member
	// Changed returns a channel that receives a value after the members or their generations have changed.
	Changed() <-chan struct{}
}

// Config configures a Service. Store, Peers and Members are required.
type Config struct {
	Self cassiaid.VMName
	Zone cassiaid.Zone
	// AdminTokenSHA256 is the hex SHA-256 of the token that authorizes access to the root subtree.
	AdminTokenSHA256 string
	Store            Store
	Peers            Peers
	Members          Members
	// WatchWait is how long one watch of the store waits for a change; 20 s when zero.
	WatchWait time.Duration
	// Clock is the real clock when nil.
	Clock clockwork.Clock
	// Seed seeds the random choices, so that a run can be reproduced.
	Seed   uint64
	Logger log.Logger
	Scope  tally.Scope
}

// Service keeps the settings tree of one VM up to date and applies operators' edits to it.
type Service struct {
	config  Config
	current atomic.Pointer[cassiasettings.Tree]
	inbox   chan cassiasettings.Message

	propagation *cassiasettings.Propagation
	// cancelWatch cancels the watch in flight; only the goroutine of loop uses it.
	cancelWatch map[cassiasettings.CallID]context.CancelFunc

	mu          sync.Mutex
	subscribers map[chan struct{}]bool
	// confirmed holds the generations that members reported when asked directly.
	confirmed map[cassiaid.VMName]cassiaid.Generation
	random    *rand.Rand
}

// New returns a Service. It does not follow changes of the settings until Run is called.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.WatchWait <= 0 {
		config.WatchWait = defaultWatchWait
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	s := &Service{
		config:      config,
		inbox:       make(chan cassiasettings.Message, inboxCapacity),
		cancelWatch: make(map[cassiasettings.CallID]context.CancelFunc),
		subscribers: make(map[chan struct{}]bool),
		confirmed:   make(map[cassiaid.VMName]cassiaid.Generation),
		random:      rand.New(rand.NewPCG(config.Seed, 1)),
	}
	s.propagation = cassiasettings.NewPropagation(cassiasettings.Config{
		Self: config.Self, Zone: config.Zone, Clock: config.Clock, Rand: rand.New(rand.NewPCG(config.Seed, 2))})
	return s
}

// Current returns the tree in force, or nil when there is none yet.
func (s *Service) Current() *cassiasettings.Tree { return s.current.Load() }

// Ready reports whether a settings tree is in force on this VM.
func (s *Service) Ready() bool { return s.Current() != nil }

// Generation returns the generation in force; membership gossip sends it to the other VMs.
func (s *Service) Generation() cassiaid.Generation { return s.Current().Generation() }

// Subscribe returns a channel that receives a value after the tree has changed, and a function that unsubscribes it.
// Changes that follow each other before the channel is read arrive as one value.
func (s *Service) Subscribe() (<-chan struct{}, func()) {
	changes := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[changes] = true
	return changes, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, changes)
	}
}

// HandleFrame handles a frame from another VM and returns the reply, or nil when the frame needs none.
func (s *Service) HandleFrame(from cassiaid.VMName, frame *cassiaschema.PeerFrame) *cassiaschema.PeerFrame {
	switch body := frame.GetBody().(type) {
	case *cassiaschema.PeerFrame_SettingsDigest:
		digest := cassiasettings.DigestReceived{From: from, Generation: cassiaid.Generation(body.SettingsDigest.GetGeneration())}
		select {
		case s.inbox <- digest:
		default:
			s.count("digestDropped")
		}
	case *cassiaschema.PeerFrame_SettingsRequest:
		state := s.Current().StateFor(body.SettingsRequest)
		if body.SettingsRequest.GetAcceptGzip() {
			state = compressState(state)
		}
		return &cassiaschema.PeerFrame{ExchangeId: frame.GetExchangeId(),
			Body: &cassiaschema.PeerFrame_SettingsState{SettingsState: state}}
	}
	return nil
}

// Run keeps the settings up to date until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loop(ctx, group) })
	return group.Wait()
}

func (s *Service) loop(ctx context.Context, group *errgroup.Group) error {
	ticker := s.config.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	s.update(ctx, group, cassiasettings.MembersChanged{Members: s.config.Members.Live()})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.config.Members.Changed():
			s.update(ctx, group, cassiasettings.MembersChanged{Members: s.config.Members.Live()})
		case m := <-s.inbox:
			s.update(ctx, group, m)
		case <-ticker.Chan():
			s.update(ctx, group, cassiasettings.Tick{})
		}
	}
}

func (s *Service) update(ctx context.Context, group *errgroup.Group, m cassiasettings.Message) {
	for _, effect := range s.propagation.Update(m) {
		s.perform(ctx, group, effect)
	}
}

func (s *Service) perform(ctx context.Context, group *errgroup.Group, effect cassiasettings.Effect) {
	switch e := effect.(type) {
	case cassiasettings.Install:
		s.install(e.Tree)
	case cassiasettings.Reject:
		_ = level.Error(s.config.Logger).Log("msg", "new settings rejected; keeping the settings in force",
			"generation", e.Generation, "err", e.Reason)
	case cassiasettings.Count:
		s.count(string(e.Counter))
	case cassiasettings.ReadHead:
		group.Go(func() error { return s.deliver(ctx, s.readHead(ctx, e)) })
	case cassiasettings.WatchHead:
		watch, cancel := context.WithCancel(ctx)
		s.cancelWatch = map[cassiasettings.CallID]context.CancelFunc{e.Call: cancel}
		group.Go(func() error {
			defer cancel()
			return s.deliver(ctx, s.watchHead(watch, e))
		})
	case cassiasettings.StopWatch:
		if cancel := s.cancelWatch[e.Call]; cancel != nil {
			cancel()
		}
	case cassiasettings.FetchEdits:
		group.Go(func() error { return s.deliver(ctx, s.fetchEdits(ctx, e)) })
	case cassiasettings.Pull:
		group.Go(func() error { return s.deliver(ctx, s.pull(ctx, e)) })
	case cassiasettings.PushDigest:
		group.Go(func() error { return s.pushDigest(ctx, e) })
	}
}

func (s *Service) install(tree *cassiasettings.Tree) {
	s.current.Store(tree)
	s.config.Scope.Gauge("settings_generation").Update(float64(tree.Generation()))
	_ = level.Info(s.config.Logger).Log("msg", "settings in force", "generation", tree.Generation())
	s.mu.Lock()
	defer s.mu.Unlock()
	for changes := range s.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
}

func (s *Service) deliver(ctx context.Context, m cassiasettings.Message) error {
	select {
	case s.inbox <- m:
	case <-ctx.Done():
	}
	return nil
}

func (s *Service) count(name string) { s.config.Scope.Counter("settings_" + name).Inc(1) }
