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

const (
	// callTimeout bounds one read or write of the key-value service.
	callTimeout = time.Second
	// drainTimeout bounds how long a stopping claimer writes pending outcomes.
	drainTimeout = 2 * time.Second
)

// ClaimRequest describes a non-idempotent request that needs a claim before it may run.
type ClaimRequest struct {
	Team  cassiaid.TeamName
	Front cassiaid.FrontName
	// Key is the value of the caller's Idempotency-Key header.
	Key string
	// BodyHash distinguishes a repeat from another request with the same key.
	BodyHash uint64
	// Deadline is when the request ends; neither the claim nor its use may come later.
	Deadline time.Time
}

// Options configures a Claimer; only Store is required.
type Options struct {
	Store Store
	// Peers selects one VM to write each bucket for all VMs; if it is nil, this VM writes every bucket that it needs.
	Peers   Peers
	Clock   clockwork.Clock
	Metrics tally.Scope
	Logger  log.Logger
}

// Claimer acquires claims for the requests of one VM. Its methods may be called from several goroutines.
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
	waiters  map[cassiaclaim.ClaimID]chan claimResult
	timer    clockwork.Timer
	calls    errgroup.Group
	// openCalls counts the running calls to the store and to other VMs.
	openCalls int
	stopping  bool
	writers   writers
}

// claimResult is the result of a claim: a refusal, the remembered answer of an earlier send or, with neither, a grant.
type claimResult struct {
	answer  []byte
	refusal *cassiaplan.Refusal
	// uncertain is true when another VM may have written the claim although it was refused here.
	uncertain bool
}

// pendingClaim is an Acquire message with the channel that receives its result.
type pendingClaim struct {
	acquire cassiaclaim.Acquire
	reply   chan claimResult
}

// NewClaimer returns a claimer; the caller has to start its Run method.
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
		waiters:  map[cassiaclaim.ClaimID]chan claimResult{},
	}
}

// randomSeed returns cryptographically random bytes, so that the ledgers of different VMs generate different nonces.
func randomSeed() [32]byte {
	var s [32]byte
	// Read from crypto/rand never returns an error.
	_, _ = crand.Read(s[:])
	return s
}

// Claim waits until the claim of a request is granted or refused or an earlier send's answer is found, at most until
// the request's deadline. The caller has to call Finish on a returned grant.
func (c *Claimer) Claim(ctx context.Context, r ClaimRequest) (*Grant, *cassiaplan.Refusal) {
	key, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: r.Team, Front: r.Front}, r.Key)
	if err != nil {
		return nil, &cassiaplan.Refusal{Kind: cassiaplan.RefusalBadRequest, Ran: cassiaplan.RanNo, Message: err.Error()}
	}
	m := cassiaclaim.Acquire{ID: cassiaclaim.ClaimID(c.lastID.Add(1)), Key: key, BodyHash: r.BodyHash,
		Deadline: r.Deadline, Nonce: newNonce()}
	o := c.acquire(ctx, m)
	grant := &Grant{claimer: c, acquire: m, nonce: m.Nonce, answer: o.answer}
	if o.refusal == nil && ctx.Err() != nil {
		grant.Finish(context.WithoutCancel(ctx), claimNotStarted, nil)
		return nil, refusedAbandoned()
	}
	if o.refusal != nil {
		return nil, o.refusal
	}
	return grant, nil
}

// newNonce returns a random nonce other than 0. Each send has its own nonce, also among several VMs.
func newNonce() cassiaclaim.Nonce {
	for {
		if n := cassiaclaim.Nonce(rand.Uint64()); n != 0 {
			return n
		}
	}
}

// acquire asks the VM that writes the bucket for the claim. It asks this VM's own ledger instead when this VM is the
// writer, and after the writer gave no reply or refused the claim as not run, for instance because it can't write.
func (c *Claimer) acquire(ctx context.Context, m cassiaclaim.Acquire) claimResult {
	if writer := c.writer(m.Key); writer != "" {
		o, decided := c.askWriter(ctx, writer, m)
		if decided {
			return o
		}
		m.MaybeWritten = o.uncertain
	}
	pending := pendingClaim{reply: make(chan claimResult, 1), acquire: m}
	if c.post(ctx, pending) {
		return c.awaitResult(ctx, pending)
	}
	if m.MaybeWritten {
		c.release(ctx, m)
	}
	return claimResult{refusal: refusedAbandoned()}
}

// release releases a claim that another VM may have written, so that a repeat of the request may run.
func (c *Claimer) release(ctx context.Context, m cassiaclaim.Acquire) {
	c.post(context.WithoutCancel(ctx), cassiaclaim.Release{Key: m.Key, BodyHash: m.BodyHash, Nonce: m.Nonce})
}

// SetRetention sets how old an idempotency key may be; zero selects the longest retention.
func (c *Claimer) SetRetention(ctx context.Context, retention time.Duration) {
	c.post(ctx, retentionChange(retention))
}

// retentionChange is the message that SetRetention sends to Run.
type retentionChange time.Duration

// awaitResult returns the result of a pending claim. If ctx ends first, it abandons the claim, which then ends in a
// refusal unless another result came before.
func (c *Claimer) awaitResult(ctx context.Context, pending pendingClaim) claimResult {
	select {
	case o := <-pending.reply:
		return o
	case <-c.stopped:
	case <-ctx.Done():
		c.post(context.WithoutCancel(ctx), cassiaclaim.Abandon{ID: pending.acquire.ID})
	}
	select {
	case o := <-pending.reply:
		return o
	case <-c.stopped:
	}
	select {
	case o := <-pending.reply:
		return o
	default:
		return claimResult{refusal: refusedAbandoned()}
	}
}

// post sends a message to Run and reports whether Run received it.
func (c *Claimer) post(ctx context.Context, m any) bool {
	select {
	case c.messages <- m:
		return true
	case <-c.stopped:
	case <-ctx.Done():
	}
	return false
}

// refusedAbandoned returns the refusal of a request whose claim was abandoned, expired or ended by a planned stop before
// it was granted.
func refusedAbandoned() *cassiaplan.Refusal {
	return &cassiaplan.Refusal{Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: time.Second,
		Message: "the claim was given up before it was won; retry with the same key"}
}
