package cassiashard

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// readHeaderTimeout is how long a client may take to send a request's headers.
const readHeaderTimeout = 30 * time.Second

// Options configure a target. Behaviour is what it simulates at the start. Its random choices depend on Seed and Name.
type Options struct {
	Name             string
	Address          string
	AvailabilityZone string
	Seed             uint64
	Behaviour        Behaviour
}

// Target is a simulated target; it listens while Run runs. Its methods are safe for concurrent use.
type Target struct {
	options Options
	log     executionLog
	mux     *http.ServeMux
	// changed makes Run check whether to close or open the listener.
	changed chan struct{}

	mu           sync.Mutex
	behaviour    Behaviour
	history      []healthRecord
	random       *rand.Rand
	slots        slotPool
	assignTimer  *time.Timer
	attempts     map[uint64]*attempt
	conns        map[*admittedConn]struct{}
	lastSetUpEnd time.Time
	startedAt    time.Time
	downUntil    time.Time
	counters     Counters
	lastAnswered *attempt
}

// Counters count events of a target that the execution log doesn't contain.
type Counters struct {
	// ConnectionsAccepted counts the connections accepted within the cap.
	ConnectionsAccepted int `json:"connectionsAccepted"`
	// ConnectionsRefused counts the connections closed because of the cap.
	ConnectionsRefused int `json:"connectionsRefused"`
	// ConnectionsPeak is the largest number of connections that were open concurrently.
	ConnectionsPeak int `json:"connectionsPeak"`
	Crashes         int `json:"crashes"`
	Cancels         int `json:"cancels"`
	HealthReports   int `json:"healthReports"`
	FaultyReplies   int `json:"faultyReplies"`
}

// NewTarget returns a target; Run makes it listen.
func NewTarget(options Options) *Target {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(options.Name))
	t := &Target{
		options:   options,
		changed:   make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(options.Seed, hash.Sum64())),
		attempts:  map[uint64]*attempt{},
		conns:     map[*admittedConn]struct{}{},
		startedAt: time.Now(),
	}
	t.mux = t.newMux()
	t.SetBehaviour(options.Behaviour)
	return t
}

// Name returns the target's name.
func (t *Target) Name() string { return t.options.Name }

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.options.Address }

// AvailabilityZone returns the target's availability zone.
func (t *Target) AvailabilityZone() string { return t.options.AvailabilityZone }

// Log returns all executions since the last ClearLog.
func (t *Target) Log() []Execution { return t.log.copyEntries() }

// ClearLog removes all executions from the log.
func (t *Target) ClearLog() { t.log.clear() }

// Counters returns the target's counters.
func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counters
}

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// UpdateBehaviour applies a function to the behaviour. It is not atomic: concurrent updates can be lost.
func (t *Target) UpdateBehaviour(update func(*Behaviour)) {
	b := t.Behaviour()
	update(&b)
	t.SetBehaviour(b)
}

// SetBehaviour replaces the behaviour. With Lost, it also closes all connections.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
	t.slots.resize(b.Slots)
	t.recordHealth(time.Now())
	if b.Lost {
		t.closeConns()
	}
	t.assignSlots()
	t.notifyChanged()
}

// Run serves the target's address until the context is done. It calls ready once, when the target first listens.
func (t *Target) Run(ctx context.Context, ready func()) error {
	listener, err := t.listen()
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.startedAt = time.Now()
	t.mu.Unlock()
	if ready != nil {
		ready()
	}
	for ctx.Err() == nil {
		if t.available(time.Now()) {
			if listener == nil {
				if listener, err = t.relisten(ctx); err != nil {
					return err
				}
			}
			err = t.serveWhileAvailable(ctx, listener)
			listener = nil
			if err != nil {
				return err
			}
			continue
		}
		if listener != nil {
			_ = listener.Close()
			listener = nil
		}
		t.waitForChange(ctx)
	}
	if listener != nil {
		_ = listener.Close()
	}
	return nil
}

func (t *Target) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", t.options.Address)
	return listener, eris.Wrapf(err, "target %s cannot listen; free the address %s", t.options.Name, t.options.Address)
}

// relisten opens the listener again after a crash or loss. It makes up to 50 tries, 20 ms apart, because another socket
// may still use the address.
func (t *Target) relisten(ctx context.Context) (net.Listener, error) {
	const maxTries, retryDelay = 50, 20 * time.Millisecond
	var listener net.Listener
	var err error
	for range maxTries {
		if listener, err = t.listen(); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(retryDelay)
	}
	t.mu.Lock()
	t.startedAt = time.Now()
	t.recordHealth(t.startedAt)
	t.mu.Unlock()
	return listener, err
}

// available reports whether the target accepts connections: it is neither lost nor restarting.
func (t *Target) available(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.behaviour.Lost && !now.Before(t.downUntil)
}

// serveWhileAvailable serves until the target crashes or is lost or the context is done.
func (t *Target) serveWhileAvailable(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: withArrival(t.mux), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: discardLogger, ConnContext: withConn}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(&cappedListener{Listener: listener, target: t})
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "target %s stopped serving", t.options.Name)
	})
	group.Go(func() error {
		for ctx.Err() == nil && t.available(time.Now()) {
			t.waitForChange(ctx)
		}
		return server.Close()
	})
	return group.Wait()
}

// waitForChange returns at the next change of behaviour, at a crash, at the end of a restart or when the context is
// done.
func (t *Target) waitForChange(ctx context.Context) {
	t.mu.Lock()
	restart := time.Until(t.downUntil)
	t.mu.Unlock()
	if restart <= 0 {
		restart = time.Hour
	}
	timer := time.NewTimer(restart)
	defer timer.Stop()
	select {
	case <-t.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// notifyChanged makes Run check again whether the target is available.
func (t *Target) notifyChanged() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// admitConn registers a connection, or returns nil if the target is unavailable or its connection cap is reached.
func (t *Target) admitConn(conn net.Conn) *admittedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behaviour.Lost || time.Now().Before(t.downUntil) {
		return nil
	}
	if maximum := t.behaviour.MaxConnections; maximum > 0 && len(t.conns)+t.behaviour.OtherConnections >= maximum {
		t.counters.ConnectionsRefused++
		return nil
	}
	now := time.Now()
	if t.lastSetUpEnd.Before(now) {
		t.lastSetUpEnd = now
	}
	t.lastSetUpEnd = t.lastSetUpEnd.Add(milliseconds(t.behaviour.ConnectMs))
	c := &admittedConn{Conn: conn, target: t, acceptedAt: now, readyAt: t.lastSetUpEnd}
	t.conns[c] = struct{}{}
	t.counters.ConnectionsAccepted++
	t.counters.ConnectionsPeak = max(t.counters.ConnectionsPeak, len(t.conns))
	return c
}

// releaseConn removes a closed connection, which no longer counts towards the cap.
func (t *Target) releaseConn(c *admittedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// crash stops all attempts, resets all connections and refuses new ones for Behaviour.RestartMs; the caller holds t.mu.
func (t *Target) crash(now time.Time) {
	t.counters.Crashes++
	t.downUntil = now.Add(milliseconds(t.behaviour.RestartMs))
	for _, a := range t.attempts {
		a.crash()
	}
	t.closeConns()
	t.notifyChanged()
}

// closeConns resets all connections; the caller holds t.mu.
func (t *Target) closeConns() {
	for c := range t.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

// assignSlots gives free slots to queued attempts and, while background traffic holds slots, schedules another try. The
// caller holds t.mu.
func (t *Target) assignSlots() {
	now := time.Now()
	retryAt := t.slots.assign(now, backgroundTraffic{t.behaviour, t.random})
	if retryAt.IsZero() {
		return
	}
	wait := max(retryAt.Sub(now), 50*time.Microsecond)
	if t.assignTimer == nil {
		t.assignTimer = time.AfterFunc(wait, t.retryAssignment)
		return
	}
	t.assignTimer.Reset(wait)
}

func (t *Target) retryAssignment() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assignSlots()
}
