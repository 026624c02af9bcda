package cassiaclaimer

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaschema"
)

const claimNotStarted = cassiaschema.ClaimOutcome_notStarted

// Run serves claims until ctx ends and then writes the pending outcomes, for at most two seconds.
func (c *Claimer) Run(ctx context.Context) error {
	c.timer = c.clock.NewTimer(time.Hour)
	defer c.timer.Stop()
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for !step(callCtx, c, ctx.Done()) {
	}
	c.stopping = true
	c.drain(callCtx)
	cancel()
	for c.openCalls > 0 {
		step[any](callCtx, c, nil)
	}
	close(c.stopped)
	return c.calls.Wait()
}

// drain handles messages until the ledger is idle and no call is running, or until drainTimeout has passed.
func (c *Claimer) drain(callCtx context.Context) {
	timeout := c.clock.After(drainTimeout)
	for c.ledger.HasPending() || c.openCalls > 0 {
		if step(callCtx, c, timeout) {
			return
		}
	}
}

// step handles one message or timer event, or returns true if interrupt receives a value or is closed first.
func step[T any](callCtx context.Context, c *Claimer, interrupt <-chan T) bool {
	select {
	case <-interrupt:
		return true
	case m := <-c.messages:
		c.handleMessage(callCtx, m)
	case <-c.timer.Chan():
		c.updateLedger(callCtx, cassiaclaim.Tick{})
	}
	return false
}

// handleMessage handles one message from a caller, from another VM or from a call that has ended.
func (c *Claimer) handleMessage(callCtx context.Context, m any) {
	switch m := m.(type) {
	case pendingClaim:
		c.waiters[m.acquire.ID] = m.reply
		if c.stopping {
			c.deliver(m.acquire.ID, claimResult{refusal: refusedAbandoned()})
			return
		}
		c.updateLedger(callCtx, m.acquire)
	case cassiaclaim.Abandon:
		c.updateLedger(callCtx, m)
		c.deliver(m.ID, claimResult{refusal: refusedAbandoned()})
	case retentionChange:
		c.ledger.SetRetention(time.Duration(m))
	case callDone:
		c.openCalls--
		if m.message != nil {
			c.updateLedger(callCtx, m.message)
		}
	case cassiaclaim.RecordOutcome:
		c.recordOutcome(callCtx, m)
	case forwardedOutcome:
		c.updateLedger(callCtx, m.outcome)
	case cassiaclaim.Message:
		c.updateLedger(callCtx, m)
	}
}

// updateLedger passes a message to the ledger and performs the effects that the ledger returns.
func (c *Claimer) updateLedger(callCtx context.Context, m cassiaclaim.Message) {
	for _, e := range c.ledger.Update(m) {
		switch e := e.(type) {
		case cassiaclaim.ReadBucket:
			c.startCall(func() cassiaclaim.Message { return c.read(callCtx, e) })
		case cassiaclaim.WriteBucket:
			c.metrics.Counter("writes").Inc(1)
			c.metrics.Counter("claimsWritten").Inc(int64(e.Claims))
			c.startCall(func() cassiaclaim.Message { return c.write(callCtx, e) })
		case cassiaclaim.Granted:
			c.deliver(e.ID, claimResult{})
		case cassiaclaim.Remembered:
			c.deliver(e.ID, claimResult{answer: e.Answer})
		case cassiaclaim.Denied:
			c.deliver(e.ID, claimResult{refusal: &e.Refusal, uncertain: e.Uncertain})
		case cassiaclaim.WakeAt:
			c.timer.Reset(max(e.At.Sub(c.clock.Now()), 0))
		case cassiaclaim.Count:
			c.metrics.Counter(string(e.Counter)).Inc(1)
		}
	}
}

// deliver sends a result to the caller that waits for a claim; it does nothing when no caller waits.
func (c *Claimer) deliver(id cassiaclaim.ClaimID, o claimResult) {
	if reply, ok := c.waiters[id]; ok {
		delete(c.waiters, id)
		reply <- o
	}
}

// callDone reports the end of a call to the store or to another VM; its message is nil if the ledger need not change.
type callDone struct{ message cassiaclaim.Message }

// startCall runs a call to the store or to another VM in its own goroutine, so that Run can handle other messages.
func (c *Claimer) startCall(f func() cassiaclaim.Message) {
	c.openCalls++
	c.calls.Go(func() error {
		c.messages <- callDone{message: f()}
		return nil
	})
}

// read reads a bucket from the store.
func (c *Claimer) read(ctx context.Context, r cassiaclaim.ReadBucket) cassiaclaim.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, revision, err := c.store.Get(ctx, r.Bucket.String())
	if err != nil {
		level.Warn(c.logger).Log("msg", "reading claim bucket failed", "bucket", r.Bucket, "err", err)
		return cassiaclaim.ReadFailed(r)
	}
	m := cassiaclaim.BucketRead{Bucket: r.Bucket, Revision: cassiaclaim.Revision(revision)}
	if revision == 0 {
		return m
	}
	m.Value = &cassiaschema.ClaimBucket{}
	if err := proto.Unmarshal(data, m.Value); err != nil {
		level.Error(c.logger).Log("msg", "claim bucket is not a valid ClaimBucket message; delete it when its claims have expired",
			"bucket", r.Bucket, "err", err)
		return cassiaclaim.ReadFailed(r)
	}
	return m
}

// write writes a bucket to the store by compare-and-swap.
func (c *Claimer) write(ctx context.Context, w cassiaclaim.WriteBucket) cassiaclaim.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := proto.Marshal(w.Value)
	if err != nil {
		level.Error(c.logger).Log("msg", "encoding claim bucket failed", "bucket", w.Bucket, "err", err)
		return cassiaclaim.WriteUnknown{Bucket: w.Bucket}
	}
	revision, done, err := c.store.Put(ctx, w.Bucket.String(), data, uint64(w.IfRevision))
	switch {
	case err != nil:
		level.Warn(c.logger).Log("msg", "writing claim bucket failed, the write may still have taken effect", "bucket", w.Bucket, "err", err)
		return cassiaclaim.WriteUnknown{Bucket: w.Bucket}
	case !done:
		return cassiaclaim.WriteConflict{Bucket: w.Bucket}
	default:
		return cassiaclaim.WriteDone{Bucket: w.Bucket, Revision: cassiaclaim.Revision(revision)}
	}
}
