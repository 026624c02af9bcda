package cassiashard

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/io/cassiabody"
)

// Headers of requests and replies.
const (
	headerAttempt      = "Attempt-Id"
	headerShard        = "Shard"
	headerSnapshot     = "Snapshot"
	headerEpoch        = "Shard-Map-Epoch"
	headerDeadline     = "Deadline-Ms"
	headerIdempotency  = "Idempotency-Key"
	headerHeld         = "Held-Snapshots"
	headerDraining     = "Draining"
	headerAcceptedRate = "Accepted-Rate"
	headerNotStarted   = "Not-Started"
)

// maxBodyBytes is how much of a request's body is read; the rest is ignored.
const maxBodyBytes = 4 << 20

// attempt is one request to a target to run a query on a shard.
type attempt struct {
	id        uint64
	shard     string
	snapshot  uint64
	epoch     uint64
	body      []byte
	bodyHash  string
	deadline  time.Time
	logHandle int
	// stop cancels ctx with the reason why the attempt ends early.
	stop   context.CancelCauseFunc
	ctx    context.Context
	waiter *waiter
}

// crash stops the attempt because the target crashed.
func (a *attempt) crash() { a.stop(errCrashed) }

// expired reports whether the attempt's deadline has passed.
func (a *attempt) expired(now time.Time) bool { return !a.deadline.IsZero() && now.After(a.deadline) }

// stopReason is why an attempt ended early.
type stopReason string

func (s stopReason) Error() string { return string(s) }

// Reasons to end an attempt early.
const (
	errCancelled stopReason = "cancelled"
	errCrashed   stopReason = "crashed"
	errDeadline  stopReason = "deadline"
)

// BodyHash returns the hash of a query's body as in Rows and Execution: its 64-bit xxHash in hexadecimal.
func BodyHash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// parseAttempt reads an attempt from its request. Its deadline counts from arrived.
func parseAttempt(r *http.Request, arrived time.Time) (*attempt, error) {
	body, err := cassiabody.ReadAll(r.Body, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	a := &attempt{shard: r.Header.Get(headerShard), body: body, bodyHash: BodyHash(body)}
	var deadlineMs uint64
	for header, value := range map[string]*uint64{
		headerAttempt: &a.id, headerSnapshot: &a.snapshot, headerEpoch: &a.epoch, headerDeadline: &deadlineMs,
	} {
		text := r.Header.Get(header)
		if text == "" {
			continue
		}
		if *value, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, err
		}
	}
	if r.Header.Get(headerDeadline) != "" {
		a.deadline = arrived.Add(time.Duration(deadlineMs) * time.Millisecond)
	}
	return a, nil
}

// newExecution returns the log entry of an attempt that has arrived and not started.
func (a *attempt) newExecution(target, idempotencyKey string, now time.Time) Execution {
	e := Execution{
		Target: target, AttemptID: a.id, Shard: a.shard, Snapshot: a.snapshot, ShardMapEpoch: a.epoch,
		IdempotencyKey: idempotencyKey, BodyHash: a.bodyHash,
		ArrivedUnixMicros: now.UnixMicro(), Outcome: OutcomeNotStarted,
	}
	if !a.deadline.IsZero() {
		e.DeadlineUnixMicros = a.deadline.UnixMicro()
	}
	return e
}

// postShard queues an attempt for a slot, runs it and replies to it.
func (t *Target) postShard(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	a, err := parseAttempt(r, recordedArrival(r))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "send decimal Attempt-Id, Snapshot, Shard-Map-Epoch and Deadline-Ms and a whole body")
		return
	}
	ctx, stop := context.WithCancelCause(r.Context())
	defer stop(nil)
	a.stop, a.ctx = stop, ctx
	if !a.deadline.IsZero() {
		timer := time.AfterFunc(time.Until(a.deadline), func() { stop(errDeadline) })
		defer timer.Stop()
	}
	if refused := t.admitAttempt(a, r.Header.Get(headerIdempotency), now); refused != nil {
		t.writeRefusal(w, a, *refused)
		return
	}
	defer t.releaseAttempt(a)
	if t.Behaviour().Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-a.waiter.assigned:
	case <-ctx.Done():
		if t.dequeueStopped(a) {
			t.writeEarlyEnd(w, a, false)
			return
		}
	}
	t.run(w, a)
}

// refusal is the reply to an attempt that was not started.
type refusal struct {
	status int
	reason string
}

// admitAttempt logs an attempt and queues it for a slot, or returns why it is refused. An attempt without a snapshot
// gets the newest one held.
func (t *Target) admitAttempt(a *attempt, idempotencyKey string, now time.Time) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.snapshot == 0 {
		a.snapshot = t.behaviour.newestSnapshot()
	}
	a.logHandle = t.log.add(a.newExecution(t.options.Name, idempotencyKey, now))
	if refused := t.checkAdmission(a, now); refused != nil {
		t.log.finish(a.logHandle, now, OutcomeNotStarted, refused.reason)
		return refused
	}
	a.waiter = t.slots.enqueue()
	t.attempts[a.id] = a
	t.assignSlots()
	return nil
}

// checkAdmission returns why an attempt is refused, or nil if it may queue; the caller holds t.mu.
func (t *Target) checkAdmission(a *attempt, now time.Time) *refusal {
	b := t.behaviour
	switch {
	case a.expired(now):
		return &refusal{http.StatusGatewayTimeout, string(errDeadline)}
	case b.Draining:
		return &refusal{http.StatusServiceUnavailable, stateDraining}
	case b.isCold(now.Sub(t.startedAt)):
		return &refusal{http.StatusServiceUnavailable, stateCold}
	case a.epoch != 0 && a.epoch != b.ShardMapEpoch, !b.servesShard(a.shard):
		return &refusal{http.StatusConflict, "repartitioned"}
	case !b.holdsSnapshot(a.snapshot):
		return &refusal{http.StatusGone, "snapshotGone"}
	case b.PauseSeconds > 0, b.ShedAbove > 0 && len(t.slots.queue) >= b.ShedAbove:
		return &refusal{http.StatusServiceUnavailable, "overloaded"}
	}
	return nil
}

// dequeueStopped removes a stopped attempt from the queue and logs its end. It returns false if the attempt already has
// a slot.
func (t *Target) dequeueStopped(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.slots.dequeue(a.waiter) {
		return false
	}
	t.log.finish(a.logHandle, time.Now(), OutcomeNotStarted, earlyEndReason(a))
	return true
}

// releaseAttempt removes an attempt from the target and frees its slot or its place in the queue.
func (t *Target) releaseAttempt(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[a.id] == a {
		delete(t.attempts, a.id)
	}
	if !t.slots.dequeue(a.waiter) {
		t.slots.release(a.waiter)
	}
	t.slots.resize(t.behaviour.Slots)
	t.assignSlots()
}

// run simulates the execution of an attempt that holds a slot: it waits for the run time and replies. It crashes the
// target if the body contains the crash marker.
func (t *Target) run(w http.ResponseWriter, a *attempt) {
	t.mu.Lock()
	now := time.Now()
	if a.expired(now) {
		t.log.finish(a.logHandle, now, OutcomeNotStarted, string(errDeadline))
		t.mu.Unlock()
		t.writeRefusal(w, a, refusal{http.StatusGatewayTimeout, string(errDeadline)})
		return
	}
	t.log.start(a.logHandle, now)
	b := t.behaviour
	runTime := b.runTime(t.random, now.Sub(t.startedAt))
	willCrash := b.CrashMarker != "" && strings.Contains(string(a.body), b.CrashMarker)
	if willCrash {
		runTime = milliseconds(b.CrashAfterMs)
	}
	t.mu.Unlock()

	timer := time.NewTimer(runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		if willCrash {
			t.crashUnlessStopped(a)
			t.endEarly(w, a)
			return
		}
		t.log.finish(a.logHandle, time.Now(), OutcomeRan, "")
		t.writeRows(w, a)
	case <-a.ctx.Done():
		t.endEarly(w, a)
	}
}

// crashUnlessStopped crashes the target unless the attempt that causes the crash has been stopped.
func (t *Target) crashUnlessStopped(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ctx.Err() == nil {
		t.crash(time.Now())
	}
}

// endEarly logs and replies to a running attempt that was stopped or whose target crashed.
func (t *Target) endEarly(w http.ResponseWriter, a *attempt) {
	outcome := OutcomeCancelled
	if context.Cause(a.ctx) == errCrashed {
		outcome = OutcomeCrashed
	}
	t.log.finish(a.logHandle, time.Now(), outcome, earlyEndReason(a))
	t.writeEarlyEnd(w, a, true)
}

// earlyEndReason returns why a stopped attempt ended: its stopReason, or clientGone if the client disconnected.
func earlyEndReason(a *attempt) string {
	if reason, ok := context.Cause(a.ctx).(stopReason); ok {
		return string(reason)
	}
	return "clientGone"
}

// postCancel stops an attempt that is queued or running; an unknown attempt is no error.
func (t *Target) postCancel(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.Header.Get(headerAttempt), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "send a decimal Attempt-Id")
		return
	}
	t.mu.Lock()
	t.counters.Cancels++
	a := t.attempts[id]
	t.mu.Unlock()
	if a != nil {
		a.stop(errCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
