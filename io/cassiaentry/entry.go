package cassiaentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiadrain"
	"cassiasaddle/io/cassiahttp"
	"cassiasaddle/io/cassiaowner"
)

// Counters that the entry increments in addition to those of the planner.
const (
	countBatches cassiaplan.Counter = "batchesSent"
	countReplies cassiaplan.Counter = "batchRepliesReceived"
)

// retryAfterNotRun is the Retry-After of a request that this VM cannot run now, for example because it is stopping. By
// then the load balancer picks another VM.
const retryAfterNotRun = time.Second

// Peers sends frames to other VMs.
type Peers interface {
	Send(ctx context.Context, vm cassiaid.VMName, lane uint64, frame *cassiaschema.PeerFrame) error
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
}

// Owner runs attempts on the targets that this VM owns.
type Owner interface {
	HandleBatch(from cassiaid.VMName, request *cassiaschema.ShardBatch, reply cassiaowner.Reply)
	Cancel(request *cassiaschema.CancelAttempts)
	Knowledge(ctx context.Context, request *cassiaschema.KnowledgeRequest) *cassiaschema.KnowledgeReply
}

// Fronts provides the front settings in force.
type Fronts interface {
	// Front returns the settings of a front, or nil when the front does not exist.
	Front(key cassiaid.FrontKey) *cassiaschema.Front
	// Ready reports whether the VM serves callers: it has settings, and what other VMs know of leaving targets.
	Ready() bool
}

// Quarantine records which requests are refused because they crash targets.
type Quarantine interface {
	// Remaining returns how long requests with a fingerprint are still refused, or 0 when they are not.
	Remaining(fingerprint cassiaid.Fingerprint) time.Duration
	// NeedsCanary reports whether a front's policy requires a canary for a request: no target is known to have answered
	// it recently, and the policy is always, or a target was lost recently, or the request was quarantined recently.
	NeedsCanary(fingerprint cassiaid.Fingerprint, policy cassiaschema.Canary) bool
	// Answered records that a shard answered a request.
	Answered(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex)
}

// Config holds the dependencies of an Entry.
type Config struct {
	Self       cassiaid.VMName
	Routes     *Routes
	Peers      Peers
	Owner      Owner
	Fronts     Fronts
	Quarantine Quarantine
	Claims     Claims
	Inquirer   Inquirer
	Clock      cassiaplan.Clock
	Logger     log.Logger
	Scope      tally.Scope
}

// Entry serves the requests of callers.
type Entry struct {
	config  Config
	group   errgroup.Group
	context context.Context
	stop    context.CancelFunc

	mutex sync.Mutex
	runs  map[cassiaid.QueryID]*run
	// lastRequestAt is when the last request arrived.
	lastRequestAt time.Time
	// requests counts the requests in progress.
	requests cassiadrain.Work
	silence  silenceTracker
	sentKeys sentKeys
}

// New returns an entry that serves requests until Close.
func New(config Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		config: config, context: ctx, stop: cancel,
		runs: make(map[cassiaid.QueryID]*run),
	}
}

// Front returns the settings in force of a front, or a refusal when the VM does not serve callers yet or the front does not
// exist.
func (e *Entry) Front(key cassiaid.FrontKey) (*cassiaschema.Front, *cassiaplan.Refusal) {
	if !e.config.Fronts.Ready() {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotReady, Ran: cassiaplan.RanNo, RetryAfter: retryAfterNotRun,
			Message: "this VM has no settings or no word of another VM yet; ask another VM or ask again",
		}
	}
	front := e.front(key)
	if front == nil {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotFound, Ran: cassiaplan.RanNo,
			Message: fmt.Sprintf("front %s is not in the settings; correct the path or apply the front's settings", key),
		}
	}
	return front, nil
}

func (e *Entry) front(key cassiaid.FrontKey) *cassiaschema.Front { return e.config.Fronts.Front(key) }

// Query runs one request and returns its JSON answer, or a refusal. It blocks until the query finishes.
func (e *Entry) Query(ctx context.Context, request *cassiahttp.Request) ([]byte, *cassiaplan.Refusal) {
	fingerprint := fingerprintOf(request)
	if remaining := e.config.Quarantine.Remaining(fingerprint); remaining > 0 {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalQuarantined, Ran: cassiaplan.RanNo, RetryAfter: remaining,
			Message: "this request crashed targets before; change it, or ask again after the quarantine",
		}
	}
	e.recordRequestTime()
	draining := e.requests.Begin()
	defer e.requests.End()
	if draining {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: retryAfterNotRun,
			Message: "this VM is stopping; ask again to reach another VM",
		}
	}
	if request.Front.Kind == cassiaschema.RequestKind_nonIdempotent {
		return e.queryNonIdempotent(ctx, request, fingerprint)
	}
	return e.answer(ctx, request, fingerprint, e.needsCanary(request, fingerprint), nil)
}

// answer runs the query of a request and encodes its answer as JSON.
func (e *Entry) answer(ctx context.Context, request *cassiahttp.Request, fingerprint cassiaid.Fingerprint, unproven bool, grant *cassiaclaimer.Grant) ([]byte, *cassiaplan.Refusal) {
	r, finish := e.runQuery(ctx, request, fingerprint, unproven, grant)
	if finish.Refusal != nil {
		return nil, finish.Refusal
	}
	if rows := finish.Answer.Rows; unproven && len(rows) > 0 {
		e.config.Quarantine.Answered(fingerprint, rows[0].Shard)
	}
	answer, err := cassiahttp.EncodeAnswer(request.RequestID, r.frontAt(finish.Answer.Epoch), finish.Answer)
	if err != nil {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalInsufficientCoverage, Ran: cassiaplan.RanYes,
			Message: "the answer could not be written as JSON: " + err.Error() + "; report the front and the request",
		}
	}
	return answer, nil
}

// needsCanary reports whether the front's policy requires a canary for a request.
func (e *Entry) needsCanary(request *cassiahttp.Request, fingerprint cassiaid.Fingerprint) bool {
	return e.config.Quarantine.NeedsCanary(fingerprint, request.Front.Canary)
}

// runQuery runs one planner from Begin to Finish.
func (e *Entry) runQuery(ctx context.Context, request *cassiahttp.Request, fingerprint cassiaid.Fingerprint, unproven bool, grant *cassiaclaimer.Grant) (*run, *cassiaplan.Finish) {
	r := &run{
		entry: e, id: cassiaid.QueryID(uuid.New()), request: request, fingerprint: fingerprint, grant: grant,
		events:    newMailbox[event](),
		inFlight:  make(map[cassiaid.AttemptID]sentAttempt),
		attempted: make(map[cassiaid.ShardIndex]bool),
	}
	plannerRequest := cassiaplan.Request{
		ID: r.id, Key: request.Key, Front: request.Front, ShardKey: request.ShardKey,
		Deadline: request.Deadline, Fingerprint: fingerprint, Unproven: unproven,
	}
	e.config.Routes.With(func(t *cassiaroute.Table) {
		r.query = cassiaplan.NewQuery(plannerRequest, t, e.config.Clock, randomSource{})
	})
	e.mutex.Lock()
	e.runs[r.id] = r
	e.mutex.Unlock()
	defer e.removeRun(r)
	return r, r.execute(ctx)
}

func (e *Entry) removeRun(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.runs, r.id)
}

func (e *Entry) recordRequestTime() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastRequestAt = e.config.Clock.Now()
}

// frontAt returns the front settings to take the shard names of an epoch from: those of the request if they are of that
// epoch, else those in force, else those of the request.
func (r *run) frontAt(epoch cassiaid.Epoch) *cassiaschema.Front {
	front := r.request.Front
	if uint64(epoch) == front.ShardMapEpoch {
		return front
	}
	if now := r.entry.front(r.request.Key); now != nil {
		return now
	}
	return front
}

// randomSource reads from the process-wide generator, which is safe for concurrent use.
type randomSource struct{}

// Uint64 returns a uniformly distributed random number.
func (randomSource) Uint64() uint64 { return rand.Uint64() }

// fingerprintOf returns a hash of a request's front, shard key and body.
func fingerprintOf(request *cassiahttp.Request) cassiaid.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(request.Key.Team), "/", string(request.Key.Front), "/", request.ShardKey, "/"} {
		digest.WriteString(part) //nolint:errcheck // a hash never fails to write
	}
	digest.Write(request.Body) //nolint:errcheck // a hash never fails to write
	return cassiaid.Fingerprint(digest.Sum64())
}

func (e *Entry) count(counter cassiaplan.Counter) { e.config.Scope.Counter(string(counter)).Inc(1) }

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool { return e.requests.Draining() }

// LastRequest returns when the last request arrived, whether it was answered or refused later. It is zero before the
// first one. Requests refused by the quarantine or before Query, for example for an unknown front, do not count.
func (e *Entry) LastRequest() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastRequestAt
}

// Drain refuses new requests and waits until those in progress have finished or ctx is done.
func (e *Entry) Drain(ctx context.Context) error {
	return eris.Wrap(e.requests.Drain(ctx), "requests were still running at the end of the shutdown timeout")
}

// Close cancels the sends to other VMs that are still in progress and waits until they have returned.
func (e *Entry) Close() error {
	e.stop()
	return e.group.Wait()
}
