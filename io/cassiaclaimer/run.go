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
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for !next(calls, c, ctx.Done()) {
	}
	c.stopping = true
	c.drain(calls)
	cancel()
	for c.open > 0 {
		next[any](calls, c, nil)
	}
	close(c.ended)
	return c.calls.Wait()
}

// drain goes on until nothing waits any more or the drain timeout has passed.
func (c *Claimer) drain(calls context.Context) {
	timeout := c.clock.After(drainTimeout)
	for c.ledger.Busy() || c.open > 0 {
		if next(calls, c, timeout) {
			return
		}
	}
}

// next takes one message, or returns true when done gives something first.
func next[T any](calls context.Context, c *Claimer, done <-chan T) bool {
	select {
	case <-done:
		return true
	case m := <-c.inbox:
		c.take(calls, m)
	case <-c.timer.Chan():
		c.update(calls, cassiaclaim.Tick{})
	}
	return false
}

func (c *Claimer) take(calls context.Context, m any) {
	switch m := m.(type) {
	case wait:
		c.waiting[m.ask.ID] = m.reply
		if c.stopping {
			c.end(m.ask.ID, outcome{refusal: refusedStopping()})
			return
		}
		c.update(calls, m.ask)
	case cassiaclaim.Abandon:
		c.update(calls, m)
		c.end(m.ID, outcome{refusal: refusedStopping()})
	case setRetention:
		c.ledger.SetRetention(time.Duration(m))
	case called:
		c.open--
		if m.message != nil {
			c.update(calls, m.message)
		}
	case cassiaclaim.Settle:
		c.settle(calls, m)
	case served:
		c.update(calls, m.settle)
	case cassiaclaim.Message:
		c.update(calls, m)
	}
}

// update performs the effects of one message.
func (c *Claimer) update(calls context.Context, m cassiaclaim.Message) {
	for _, e := range c.ledger.Update(m) {
		switch e := e.(type) {
		case cassiaclaim.ReadBucket:
			c.call(func() cassiaclaim.Message { return c.read(calls, e) })
		case cassiaclaim.WriteBucket:
			c.metrics.Counter("writes").Inc(1)
			c.metrics.Counter("claimsWritten").Inc(int64(e.Claims))
			c.call(func() cassiaclaim.Message { return c.write(calls, e) })
		case cassiaclaim.Granted:
			c.end(e.ID, outcome{})
		case cassiaclaim.Remembered:
			c.end(e.ID, outcome{answer: e.Answer})
		case cassiaclaim.Denied:
			c.end(e.ID, outcome{refusal: &e.Refusal, uncertain: e.Uncertain})
		case cassiaclaim.WakeAt:
			c.timer.Reset(max(e.At.Sub(c.clock.Now()), 0))
		case cassiaclaim.Count:
			c.metrics.Counter(string(e.Counter)).Inc(1)
		}
	}
}

func (c *Claimer) end(id cassiaclaim.ClaimID, o outcome) {
	if reply, ok := c.waiting[id]; ok {
		delete(c.waiting, id)
		reply <- o
	}
}

// called brings the end of a call to the store or to another VM; a nil message changes nothing.
type called struct{ message cassiaclaim.Message }

// call runs a call to the store beside the loop.
func (c *Claimer) call(f func() cassiaclaim.Message) {
	c.open++
	c.calls.Go(func() error {
		c.inbox <- called{message: f()}
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
