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

// Counters of the entry, beside those that the planner raises.
const (
	countBatches cassiaplan.Counter = "batchesSent"
	countReplies cassiaplan.Counter = "batchRepliesReceived"
)

// retryAfterLeaving is when a caller refused by a leaving VM may ask again; the balancer then picks another VM.
const retryAfterLeaving = time.Second

// Peers carries frames to other VMs.
type Peers interface {
	Send(ctx context.Context, vm cassiaid.VMName, lane uint64, frame *cassiaschema.PeerFrame) error
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
}

// Owner is the owner side of this VM.
type Owner interface {
	HandleBatch(from cassiaid.VMName, request *cassiaschema.ShardBatch, reply cassiaowner.Reply)
	Cancel(request *cassiaschema.CancelAttempts)
	Knowledge(ctx context.Context, request *cassiaschema.KnowledgeRequest) *cassiaschema.KnowledgeReply
}

// Fronts gives the settings in force.
type Fronts interface {
	// Front returns a front, nil when there is none.
	Front(key cassiaid.FrontKey) *cassiaschema.Front
	// Ready is false until the VM has settings.
	Ready() bool
}

// Quarantine tells which requests are refused because they crash targets.
type Quarantine interface {
	// Remaining returns how long a fingerprint stays refused, 0 when it is not.
	Remaining(fingerprint cassiaid.Fingerprint) time.Duration
	// Unproven tells whether a request needs care because nobody is known to have answered it.
	Unproven(fingerprint cassiaid.Fingerprint, policy cassiaschema.Canary) bool
	// Answered notes that a request was answered by a shard.
	Answered(fingerprint cassiaid.Fingerprint, shard cassiaid.ShardIndex)
}

// Config holds what an Entry needs.
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

// Entry answers callers' questions.
type Entry struct {
	config  Config
	group   errgroup.Group
	context context.Context
	stop    context.CancelFunc

	mutex sync.Mutex
	runs  map[cassiaid.QueryID]*run
	// lastRequestAt is when the last caller asked.
	lastRequestAt time.Time
	// requests are those whose callers wait for an answer.
	requests cassiadrain.Work
	silence  silenceTracker
	sent     sentKeys
}

// New returns an entry that answers until Close.
func New(config Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		config: config, context: ctx, stop: cancel,
		runs: make(map[cassiaid.QueryID]*run),
	}
}

// Front returns a front's settings in force, or a refusal.
func (e *Entry) Front(key cassiaid.FrontKey) (*cassiaschema.Front, *cassiaplan.Refusal) {
	if !e.config.Fronts.Ready() {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotReady, Ran: cassiaplan.RanNo, RetryAfter: retryAfterLeaving,
			Message: "this VM has no settings yet; ask another VM or ask again",
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

// Ask answers one question.
func (e *Entry) Ask(ctx context.Context, request *cassiahttp.Question) ([]byte, *cassiaplan.Refusal) {
	fingerprint := fingerprintOf(request)
	if remaining := e.config.Quarantine.Remaining(fingerprint); remaining > 0 {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalQuarantined, Ran: cassiaplan.RanNo, RetryAfter: remaining,
			Message: "this request crashed targets before; change it, or ask again after the quarantine",
		}
	}
	e.recordRequestTime()
	leaving := e.requests.Begin()
	defer e.requests.End()
	if leaving {
		return nil, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: retryAfterLeaving,
			Message: "this VM is stopping; ask again to reach another VM",
		}
	}
	if request.Front.Kind == cassiaschema.RequestKind_nonIdempotent {
		return e.askNonIdempotent(ctx, request, fingerprint)
	}
	return e.answer(ctx, request, fingerprint, e.unproven(request, fingerprint), nil)
}

// answer runs a question and encodes its answer.
func (e *Entry) answer(ctx context.Context, request *cassiahttp.Question, fingerprint cassiaid.Fingerprint, unproven bool, grant *cassiaclaimer.Grant) ([]byte, *cassiaplan.Refusal) {
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

// unproven tells whether a question needs care because nobody is known to have answered it.
func (e *Entry) unproven(request *cassiahttp.Question, fingerprint cassiaid.Fingerprint) bool {
	return e.config.Quarantine.Unproven(fingerprint, request.Front.Canary)
}

// runQuery carries one planner from Begin to Finish.
func (e *Entry) runQuery(ctx context.Context, request *cassiahttp.Question, fingerprint cassiaid.Fingerprint, unproven bool, grant *cassiaclaimer.Grant) (*run, *cassiaplan.Finish) {
	r := &run{
		entry: e, id: cassiaid.QueryID(uuid.New()), request: request, fingerprint: fingerprint, grant: grant,
		events:    newMailbox[event](),
		sent:      make(map[cassiaid.AttemptID]sentAttempt),
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

// frontAt returns the settings that name the shards of an epoch.
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

// randomSource draws from the process-wide generator, which is safe for concurrent use.
type randomSource struct{}

// Uint64 returns a random number.
func (randomSource) Uint64() uint64 { return rand.Uint64() }

// fingerprintOf identifies a request's content within its front.
func fingerprintOf(request *cassiahttp.Question) cassiaid.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(request.Key.Team), "/", string(request.Key.Front), "/", request.ShardKey, "/"} {
		digest.WriteString(part) //nolint:errcheck // a hash never fails to write
	}
	digest.Write(request.Body) //nolint:errcheck // a hash never fails to write
	return cassiaid.Fingerprint(digest.Sum64())
}

func (e *Entry) count(counter cassiaplan.Counter) { e.config.Scope.Counter(string(counter)).Inc(1) }

// Leaving is true once Leave was called.
func (e *Entry) Leaving() bool { return e.requests.Leaving() }

// LastQuestion returns when the last caller asked, answered or not.
func (e *Entry) LastQuestion() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastRequestAt
}

// Leave refuses new questions and waits until those that run have ended or ctx is done.
func (e *Entry) Leave(ctx context.Context) error {
	return eris.Wrap(e.requests.Leave(ctx), "questions were still running when the time to stop was over")
}

// Close ends what Leave left.
func (e *Entry) Close() error {
	e.stop()
	return e.group.Wait()
}
