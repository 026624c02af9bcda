package cassiahttp

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiacaller"
)

// Headers of the callers' HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout-Ms"
	HeaderShardKey       = "Shard-Key"
	HeaderRequestID      = "Request-Id"
)

const maxRequestIDBytes = 128

// Request is one request of a caller, validated before it is passed to Backend.Query. RequestID is the caller's, or a
// new UUID if the caller's is missing or over 128 bytes.
type Request struct {
	RequestID      string
	Key            cassiaid.FrontKey
	Front          *cassiaschema.Front
	Body           []byte
	ShardKey       string
	IdempotencyKey string
	Deadline       time.Time
}

// Backend answers callers' requests; an error is always a refusal.
type Backend interface {
	// Front returns a front's settings in force, or a refusal of kind notFound or notReady.
	Front(key cassiaid.FrontKey) (*cassiaschema.Front, *cassiaplan.Refusal)
	// Query returns the answer to one request, encoded as JSON, or the refusal.
	Query(ctx context.Context, request *Request) ([]byte, *cassiaplan.Refusal)
	// Draining reports whether the VM is about to stop.
	Draining() bool
}

// Handler serves the callers' HTTP API.
type Handler struct {
	backend Backend
	// intake receives the bodies of callers.
	intake *cassiacaller.Intake
	logger log.Logger
	scope  tally.Scope
}

// New returns the handler for all paths of the callers' HTTP API. No argument may be nil.
func New(backend Backend, intake *cassiacaller.Intake, logger log.Logger, scope tally.Scope) (http.Handler, error) {
	h := &Handler{backend: backend, intake: intake, logger: logger, scope: scope}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/teams/{team}/fronts/{front}/query", h.query)
	app.OnErrorCode(iris.StatusNotFound, h.refuseUnknownPath)
	app.OnErrorCode(iris.StatusMethodNotAllowed, h.refuseUnknownPath)
	app.Configure(iris.WithoutBodyConsumptionOnUnmarshal, iris.WithOptimizations)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (h *Handler) refuseUnknownPath(c iris.Context) {
	if c.ResponseWriter().Written() > 0 {
		return
	}
	h.writeRefusal(c, "", nil, &cassiaplan.Refusal{
		Kind: cassiaplan.RefusalNotFound, Ran: cassiaplan.RanNo,
		Message: "no such path; POST to /v1/teams/{team}/fronts/{front}/query",
	})
}

func (h *Handler) query(c iris.Context) {
	start := time.Now()
	request, body, refusal := h.parseRequest(c, start)
	defer body.Release()
	var answer []byte
	if refusal == nil {
		answer, refusal = h.backend.Query(c.Request().Context(), request)
	}
	if refusal != nil {
		h.writeRefusal(c, request.RequestID, request.Front, refusal)
	} else {
		h.writeReply(c, http.StatusOK, request.RequestID, answer)
	}
	h.scope.Timer("queryTime").Record(time.Since(start))
	level.Debug(h.logger).Log("msg", "query", "requestId", request.RequestID, "front", request.Key, "refusal", refusal, "took", time.Since(start))
}

// parseRequest validates a request. The returned Request is never nil, so that a refusal can include the request id. If
// the request is refused, its Front may be nil. The body has to be released once the request has ended.
func (h *Handler) parseRequest(c iris.Context, now time.Time) (*Request, cassiabody.Held, *cassiaplan.Refusal) {
	var body cassiabody.Held
	request := c.Request()
	r := &Request{
		RequestID:      request.Header.Get(HeaderRequestID),
		Key:            cassiaid.FrontKey{Team: cassiaid.TeamName(c.Params().Get("team")), Front: cassiaid.FrontName(c.Params().Get("front"))},
		ShardKey:       request.Header.Get(HeaderShardKey),
		IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
	}
	if r.RequestID == "" || len(r.RequestID) > maxRequestIDBytes {
		r.RequestID = uuid.NewString()
	}
	front, refusal := h.backend.Front(r.Key)
	if refusal != nil {
		return r, body, refusal
	}
	r.Front = front
	if refusal := r.parseDeadline(request.Header.Get(HeaderRequestTimeout), now); refusal != nil {
		return r, body, refusal
	}
	beforeBody := time.Now()
	body, refusal = h.readBody(c.ResponseWriter(), request, r)
	// The time in which a caller sends the body does not count, so that slow callers are served as well.
	r.Deadline = r.Deadline.Add(time.Since(beforeBody))
	if refusal != nil {
		return r, body, refusal
	}
	return r, body, r.checkHeaders()
}

func (r *Request) parseDeadline(header string, now time.Time) *cassiaplan.Refusal {
	timeout := cassiafront.Deadline(r.Front)
	if header != "" {
		milliseconds, err := strconv.ParseInt(header, 10, 64)
		if err != nil || milliseconds <= 0 {
			return badRequest("%s is %q; give a whole number of milliseconds above 0", HeaderRequestTimeout, header)
		}
		requested := time.Duration(min(milliseconds, timeout.Milliseconds())) * time.Millisecond
		timeout = min(timeout, requested)
	}
	r.Deadline = now.Add(timeout)
	return nil
}

func (r *Request) checkHeaders() *cassiaplan.Refusal {
	if r.Front.Fanout == cassiaschema.Fanout_oneShardByKey && r.ShardKey == "" {
		return badRequest("front %s looks up one shard; give its key in the header %s", r.Key, HeaderShardKey)
	}
	if r.Front.Kind == cassiaschema.RequestKind_nonIdempotent && r.IdempotencyKey == "" {
		return badRequest("front %s takes non-idempotent requests; give a UUIDv7 in the header %s and keep it for repeats", r.Key, HeaderIdempotencyKey)
	}
	return nil
}

func badRequest(format string, arguments ...any) *cassiaplan.Refusal {
	return &cassiaplan.Refusal{Kind: cassiaplan.RefusalBadRequest, Ran: cassiaplan.RanNo, Message: fmt.Sprintf(format, arguments...)}
}

func (h *Handler) writeRefusal(c iris.Context, requestID string, front *cassiaschema.Front, refusal *cassiaplan.Refusal) {
	h.scope.Tagged(map[string]string{"kind": string(refusal.Kind)}).Counter("refusals").Inc(1)
	body, err := encodeRefusal(requestID, front, refusal)
	if err != nil {
		level.Error(h.logger).Log("msg", "refusal could not be encoded", "requestId", requestID, "err", err)
	}
	if refusal.RetryAfter > 0 {
		c.ResponseWriter().Header().Set("Retry-After", strconv.FormatInt(retryAfterSeconds(refusal.RetryAfter), 10))
	}
	h.writeReply(c, httpStatus(refusal.Kind), requestID, body)
}

func (h *Handler) writeReply(c iris.Context, status int, requestID string, body []byte) {
	header := c.ResponseWriter().Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, requestID)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if h.backend.Draining() {
		// Makes the caller open its next connection to another VM, so that no connection is idle here when the listener
		// closes.
		header.Set("Connection", "close")
	}
	c.StatusCode(status)
	if _, err := c.Write(body); err != nil {
		level.Debug(h.logger).Log("msg", "caller disconnected before the reply was written", "requestId", requestID, "err", err)
	}
}
