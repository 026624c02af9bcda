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

// Run performs claims until the context ends, then writes the outcomes that still wait.
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

// drain goes on until nothing waits any more or the drain timeout has passed.
func (c *Claimer) drain(callCtx context.Context) {
	timeout := c.clock.After(drainTimeout)
	for c.ledger.Busy() || c.openCalls > 0 {
		if step(callCtx, c, timeout) {
			return
		}
	}
}

// step takes one message, or returns true when done gives something first.
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

func (c *Claimer) handleMessage(callCtx context.Context, m any) {
	switch m := m.(type) {
	case pendingClaim:
		c.waiters[m.ask.ID] = m.reply
		if c.stopping {
			c.deliver(m.ask.ID, outcome{refusal: refusedStopping()})
			return
		}
		c.updateLedger(callCtx, m.ask)
	case cassiaclaim.Abandon:
		c.updateLedger(callCtx, m)
		c.deliver(m.ID, outcome{refusal: refusedStopping()})
	case setRetention:
		c.ledger.SetRetention(time.Duration(m))
	case callDone:
		c.openCalls--
		if m.message != nil {
			c.updateLedger(callCtx, m.message)
		}
	case cassiaclaim.Settle:
		c.recordOutcome(callCtx, m)
	case forwardedSettle:
		c.updateLedger(callCtx, m.settle)
	case cassiaclaim.Message:
		c.updateLedger(callCtx, m)
	}
}

// updateLedger performs the effects of one message.
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
			c.deliver(e.ID, outcome{})
		case cassiaclaim.Remembered:
			c.deliver(e.ID, outcome{answer: e.Answer})
		case cassiaclaim.Denied:
			c.deliver(e.ID, outcome{refusal: &e.Refusal, uncertain: e.Uncertain})
		case cassiaclaim.WakeAt:
			c.timer.Reset(max(e.At.Sub(c.clock.Now()), 0))
		case cassiaclaim.Count:
			c.metrics.Counter(string(e.Counter)).Inc(1)
		}
	}
}

func (c *Claimer) deliver(id cassiaclaim.ClaimID, o outcome) {
	if reply, ok := c.waiters[id]; ok {
		delete(c.waiters, id)
		reply <- o
	}
}

// callDone brings the end of a call to the store or to another VM; a nil message changes nothing.
type callDone struct{ message cassiaclaim.Message }

// startCall runs a call to the store beside the loop.
func (c *Claimer) startCall(f func() cassiaclaim.Message) {
	c.openCalls++
	c.calls.Go(func() error {
		c.messages <- callDone{message: f()}
		return nil
	})
}

func (c *Claimer) read(ctx context.Context, r cassiaclaim.ReadBucket) cassiaclaim.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, revision, err := c.store.Get(ctx, r.Bucket.String())
	if err != nil {
		level.Warn(c.logger).Log("msg", "claim bucket not read", "bucket", r.Bucket, "err", err)
		return cassiaclaim.ReadFailed(r)
	}
	m := cassiaclaim.BucketRead{Bucket: r.Bucket, Revision: cassiaclaim.Revision(revision)}
	if revision == 0 {
		return m
	}
	m.Value = &cassiaschema.ClaimBucket{}
	if err := proto.Unmarshal(data, m.Value); err != nil {
		level.Error(c.logger).Log("msg", "claim bucket is unreadable; delete it when its claims have expired",
			"bucket", r.Bucket, "err", err)
		return cassiaclaim.ReadFailed(r)
	}
	return m
}

func (c *Claimer) write(ctx context.Context, w cassiaclaim.WriteBucket) cassiaclaim.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := proto.Marshal(w.Value)
	if err != nil {
		level.Error(c.logger).Log("msg", "claim bucket not encoded", "bucket", w.Bucket, "err", err)
		return cassiaclaim.WriteUnknown{Bucket: w.Bucket}
	}
	revision, done, err := c.store.Put(ctx, w.Bucket.String(), data, uint64(w.IfRevision))
	switch {
	case err != nil:
		level.Warn(c.logger).Log("msg", "outcome of a claim write not known", "bucket", w.Bucket, "err", err)
		return cassiaclaim.WriteUnknown{Bucket: w.Bucket}
	case !done:
		return cassiaclaim.WriteConflict{Bucket: w.Bucket}
	default:
		return cassiaclaim.WriteDone{Bucket: w.Bucket, Revision: cassiaclaim.Revision(revision)}
	}
}
