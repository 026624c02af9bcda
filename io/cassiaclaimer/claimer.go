package cassiaclaimer

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
)

// Times of the claimer.
const (
	callTimeout  = time.Second
	drainTimeout = 2 * time.Second
)

// ClaimRequest asks for the right to run a non-idempotent request.
type ClaimRequest struct {
	Team  cassiaid.TeamName
	Front cassiaid.FrontName
	// Key is the caller's Idempotency-Key.
	Key      string
	BodyHash uint64
	Deadline time.Time
}

// Options are what a Claimer works with; only Store is required.
type Options struct {
	Store Store
	// Peers lets one VM write a bucket for all; without it each VM writes for itself.
	Peers   Peers
	Clock   clockwork.Clock
	Metrics tally.Scope
	Logger  log.Logger
}

// Claimer wins claims for the requests of one VM.
type Claimer struct {
	store    Store
	peers    Peers
	clock    clockwork.Clock
	metrics  tally.Scope
	logger   log.Logger
	ledger   *cassiaclaim.Ledger
	messages chan any
	stopped  chan struct{}
	lastID   atomic.Uint64
	waiters  map[cassiaclaim.ClaimID]chan outcome
	timer    clockwork.Timer
	calls    errgroup.Group
	// openCalls counts the calls to the store that are under way.
	openCalls int
	stopping  bool
	writers   writers
}

// outcome ends one wait for a claim.
type outcome struct {
	answer  []byte
	refusal *cassiaplan.Refusal
	// uncertain is true when a refused claim may have been written at another VM.
	uncertain bool
}

// pendingClaim is an Ask with the channel for its outcome.
type pendingClaim struct {
	ask   cassiaclaim.Ask
	reply chan outcome
}

// NewClaimer returns a claimer whose Run has to be started.
func NewClaimer(o Options) *Claimer {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Claimer{
		store:    o.Store,
		peers:    o.Peers,
		clock:    o.Clock,
		metrics:  o.Metrics.SubScope("claims"),
		logger:   o.Logger,
		ledger:   cassiaclaim.NewLedger(o.Clock, rand.New(rand.NewChaCha8(randomSeed()))),
		messages: make(chan any),
		stopped:  make(chan struct{}),
		waiters:  map[cassiaclaim.ClaimID]chan outcome{},
	}
}

// randomSeed returns random bytes; nonces have to differ between VMs.
func randomSeed() [32]byte {
	var s [32]byte
	// Read of crypto/rand never fails.
	_, _ = crand.Read(s[:])
	return s
}

// Claim waits until the request may run once, is remembered or is refused, at most until its deadline.
func (c *Claimer) Claim(ctx context.Context, r ClaimRequest) (*Grant, *cassiaplan.Refusal) {
	key, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: r.Team, Front: r.Front}, r.Key)
	if err != nil {
		return nil, &cassiaplan.Refusal{Kind: cassiaplan.RefusalBadRequest, Ran: cassiaplan.RanNo, Message: err.Error()}
	}
	ask := cassiaclaim.Ask{ID: cassiaclaim.ClaimID(c.lastID.Add(1)), Key: key, BodyHash: r.BodyHash,
		Deadline: r.Deadline, Nonce: newNonce()}
	o := c.acquire(ctx, ask)
	grant := &Grant{claimer: c, ask: ask, nonce: ask.Nonce, answer: o.answer}
	if o.refusal == nil && ctx.Err() != nil {
		grant.Finish(context.WithoutCancel(ctx), claimNotStarted, nil)
		return nil, refusedStopping()
	}
	if o.refusal != nil {
		return nil, o.refusal
	}
	return grant, nil
}

// newNonce returns a random nonce; it has to differ between all sends of all VMs.
func newNonce() cassiaclaim.Nonce {
	for {
		if n := cassiaclaim.Nonce(rand.Uint64()); n != 0 {
			return n
		}
	}
}

// acquire asks the bucket's writer, and this VM's own ledger when the writer is this VM, gives no reply or can not write.
func (c *Claimer) acquire(ctx context.Context, ask cassiaclaim.Ask) outcome {
	if writer := c.writer(ask.Key); writer != "" {
		o, decided := c.askWriter(ctx, writer, ask)
		if decided {
			return o
		}
		ask.Attempted = o.uncertain
	}
	w := pendingClaim{reply: make(chan outcome, 1), ask: ask}
	if c.post(ctx, w) {
		return c.awaitOutcome(ctx, w)
	}
	if ask.Attempted {
		c.release(ctx, ask)
	}
	return outcome{refusal: refusedStopping()}
}

// release gives back a claim that another VM may have written.
func (c *Claimer) release(ctx context.Context, ask cassiaclaim.Ask) {
	c.post(context.WithoutCancel(ctx), cassiaclaim.Release{Key: ask.Key, BodyHash: ask.BodyHash, Nonce: ask.Nonce})
}

// SetRetention changes how old a key may be; zero gives the longest retention.
func (c *Claimer) SetRetention(ctx context.Context, retention time.Duration) {
	c.post(ctx, setRetention(retention))
}

// setRetention is the message of SetRetention.
type setRetention time.Duration

// awaitOutcome returns the one outcome of a wait, and gives the wait up when its caller does.
func (c *Claimer) awaitOutcome(ctx context.Context, w pendingClaim) outcome {
	select {
	case o := <-w.reply:
		return o
	case <-c.stopped:
	case <-ctx.Done():
		c.post(context.WithoutCancel(ctx), cassiaclaim.Abandon{ID: w.ask.ID})
	}
	select {
	case o := <-w.reply:
		return o
	case <-c.stopped:
	}
	select {
	case o := <-w.reply:
		return o
	default:
		return outcome{refusal: refusedStopping()}
	}
}

// post hands a message to Run and tells whether it was taken.
func (c *Claimer) post(ctx context.Context, m any) bool {
	select {
	case c.messages <- m:
		return true
	case <-c.stopped:
	case <-ctx.Done():
	}
	return false
}

func refusedStopping() *cassiaplan.Refusal {
	return &cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: time.Second,
		Message: "the claim was given up before it was won; retry with the same key"}
}
