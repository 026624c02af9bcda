package cassiaclaimer

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// Times of calls to the VM that writes a bucket.
const (
	// maxWriterWait bounds the wait for a writer's reply. The wait for a claim is also at most half of the time that
	// remains until the request's deadline, which leaves the other half for this VM's own ledger.
	maxWriterWait = 250 * time.Millisecond
	// silentWriterBackoff is how long a VM is not asked again after it gave no reply.
	silentWriterBackoff = time.Second
)

// Peers selects one VM to write each bucket for all VMs, so that one write carries the claims of many VMs and writes
// don't conflict. This affects speed only: when VMs disagree about the writer, compare-and-swap keeps the claims
// correct.
type Peers interface {
	// Writer returns the VM that should write a bucket, or "" for this VM.
	Writer(bucket cassiaclaim.BucketID) cassiaid.VMName
	// Call sends a call to a VM and returns the reply of that VM's Claimer.Serve.
	Call(ctx context.Context, vm cassiaid.VMName, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error)
}

// writer returns the VM that writes the bucket of a key, or "" when this VM does or the writer gave no reply recently.
func (c *Claimer) writer(key cassiaclaim.Key) cassiaid.VMName {
	if c.peers == nil {
		return ""
	}
	vm := c.peers.Writer(key.Bucket())
	if vm == "" || c.writers.silent(vm, c.clock.Now()) {
		return ""
	}
	return vm
}

// callWriter makes one call to a writer. It records the writer's clock from the reply, or that the writer gave no
// reply.
func (c *Claimer) callWriter(ctx context.Context, vm cassiaid.VMName, wait time.Duration, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c.metrics.Counter("writerCalls").Inc(1)
	reply, err := c.peers.Call(callCtx, vm, call)
	if err != nil && ctx.Err() == nil {
		c.metrics.Counter("writerSilent").Inc(1)
		c.writers.markSilent(vm, c.clock.Now().Add(silentWriterBackoff))
	}
	if err == nil {
		c.writers.recordClock(vm, reply.GetWriterUnixMillis(), c.clock.Now())
	}
	return reply, err
}

// askWriter asks another VM for a claim. It returns false when this VM has to ask its own ledger instead: the writer
// gave no reply, its clock is not known or it refused the claim as not run.
func (c *Claimer) askWriter(ctx context.Context, vm cassiaid.VMName, m cassiaclaim.Acquire) (claimResult, bool) {
	now := c.clock.Now()
	wait := min(m.Deadline.Sub(now)/2, maxWriterWait)
	expires := c.writers.clockMillis(vm, now.Add(wait))
	if expires == 0 {
		// The reply to an empty call has the writer's clock, which the expiry of the next call needs.
		reply, err := c.callWriter(ctx, vm, wait, &cassiaschema.ClaimCall{})
		if err != nil || reply.GetWriterUnixMillis() == 0 {
			return claimResult{}, false
		}
		return c.askWriter(ctx, vm, m)
	}
	reply, err := c.callWriter(ctx, vm, wait, &cassiaschema.ClaimCall{
		Key: m.Key.Scoped, KeyUnixMillis: m.Key.Time.UnixMilli(), BodyHash: m.BodyHash, Nonce: uint64(m.Nonce),
		Remaining: durationpb.New(wait), ExpiresWriterMillis: expires,
	})
	if err != nil {
		return claimResult{uncertain: true}, false
	}
	o := resultFromReply(reply)
	return o, o.refusal == nil || o.refusal.Kind != cassiaplan.RefusalNotRun
}

// resultFromReply converts a writer's reply to a claim result.
func resultFromReply(reply *cassiaschema.ClaimReply) claimResult {
	switch {
	case reply.GetGranted():
		return claimResult{}
	case len(reply.GetAnswer()) > 0:
		return claimResult{answer: reply.GetAnswer()}
	default:
		r := reply.GetRefusal()
		return claimResult{uncertain: reply.GetUncertain(), refusal: &cassiaplan.Refusal{Kind: cassiaplan.RefusalKind(r.GetKind()), Message: r.GetMessage(),
			Ran: cassiaplan.Ran(r.GetRan()), RetryAfter: r.GetRetryAfter().AsDuration()}}
	}
}

// replyFromResult converts a claim result to a reply for another VM.
func replyFromResult(o claimResult) *cassiaschema.ClaimReply {
	reply := &cassiaschema.ClaimReply{Granted: o.refusal == nil && o.answer == nil, Answer: o.answer, Uncertain: o.uncertain}
	if r := o.refusal; r != nil {
		reply.Refusal = &cassiaschema.ClaimRefusal{Kind: string(r.Kind), Message: r.Message, Ran: string(r.Ran),
			RetryAfter: durationpb.New(r.RetryAfter)}
	}
	return reply
}

// forwardedOutcome is an outcome from another VM; this VM's ledger records it and doesn't forward it again.
type forwardedOutcome struct{ outcome cassiaclaim.RecordOutcome }

// Serve handles a call from another VM: the request for a claim, the outcome of one, or an empty call that reads the clock.
func (c *Claimer) Serve(ctx context.Context, call *cassiaschema.ClaimCall) *cassiaschema.ClaimReply {
	reply := &cassiaschema.ClaimReply{}
	key := cassiaclaim.Key{Scoped: call.GetKey(), Time: time.UnixMilli(call.GetKeyUnixMillis())}
	nonce := cassiaclaim.Nonce(call.GetNonce())
	switch {
	case call.GetKey() == "":
	case call.GetSettled():
		c.post(ctx, forwardedOutcome{cassiaclaim.RecordOutcome{Key: key, BodyHash: call.GetBodyHash(), Nonce: nonce,
			Outcome: call.GetOutcome(), Answer: call.GetAnswer()}})
	default:
		reply = replyFromResult(c.acquireForPeer(ctx, call, key, nonce))
	}
	reply.WriterUnixMillis = c.clock.Now().UnixMilli()
	return reply
}

// acquireForPeer asks this VM's ledger for a claim on behalf of another VM, unless the call has expired. A claim for an
// expired call would remain although its sender has stopped waiting.
func (c *Claimer) acquireForPeer(ctx context.Context, call *cassiaschema.ClaimCall, key cassiaclaim.Key, nonce cassiaclaim.Nonce) claimResult {
	now := c.clock.Now()
	remaining := min(call.GetRemaining().AsDuration(), time.UnixMilli(call.GetExpiresWriterMillis()).Sub(now))
	if remaining <= 0 {
		c.metrics.Counter("staleCalls").Inc(1)
		return claimResult{refusal: refusedAbandoned()}
	}
	pending := pendingClaim{reply: make(chan claimResult, 1), acquire: cassiaclaim.Acquire{
		ID: cassiaclaim.ClaimID(c.lastID.Add(1)), Key: key, BodyHash: call.GetBodyHash(), Nonce: nonce, Forwarded: true,
		Deadline: now.Add(remaining),
	}}
	if !c.post(ctx, pending) {
		return claimResult{refusal: refusedAbandoned(), uncertain: true}
	}
	return c.awaitResult(ctx, pending)
}

// recordOutcome sends the outcome of a claim to the bucket's writer. It updates this VM's own ledger instead when this
// VM is the writer, when the writer gives no reply, and while the claimer is stopping.
func (c *Claimer) recordOutcome(callCtx context.Context, m cassiaclaim.RecordOutcome) {
	vm := c.writer(m.Key)
	if vm == "" || c.stopping {
		c.updateLedger(callCtx, m)
		return
	}
	c.startCall(func() cassiaclaim.Message {
		_, err := c.callWriter(callCtx, vm, maxWriterWait, &cassiaschema.ClaimCall{
			Key: m.Key.Scoped, KeyUnixMillis: m.Key.Time.UnixMilli(), BodyHash: m.BodyHash, Nonce: uint64(m.Nonce),
			Settled: true, Outcome: m.Outcome, Answer: m.Answer,
		})
		if err != nil {
			return m
		}
		return nil
	})
}
