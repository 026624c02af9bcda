package cassiaplan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// repartition returns a reply function for targets whose shard map epochs epochOf returns: a target answers a batch of
// its own epoch and refuses any other.
func repartition(epochOf func(cassiaid.TargetName) cassiaid.Epoch) func(SendBatch, Attempt) *cassiaschema.ShardResult {
	return func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		r := answer(b, a)
		if epoch := epochOf(a.Target); epoch != b.Epoch {
			r = refused(b, a, cassiaschema.ShardOutcome_repartitioned)
			r.ShardMapEpoch = uint64(epoch)
		}
		return r
	}
}

// TestShardMapIsWaitedFor has targets and settings change from epoch 7 to 8 at different times and an empty retry
// budget: the query must wait for a matching shard map instead of giving up.
func TestShardMapIsWaitedFor(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name string
		// settings, first and second are when the settings and the first and second replicas change to epoch 8.
		settings, first, second time.Duration
		// want is the epoch of the answer, 0 for a refusal; the query must finish by the given time.
		want     cassiaid.Epoch
		restarts int
		by       time.Duration
	}{
		{"settings come late", 60 * ms, 0, 0, 8, 1, 120 * ms},
		{"targets come late", 0, 60 * ms, 60 * ms, 8, 0, 120 * ms},
		{"one replica is still there", 0, 0, 300 * ms, 8, 0, 10 * ms},
		{"settings come late, the old replica is enough", 100 * ms, 0, 300 * ms, 7, 0, 10 * ms},
		{"nothing comes", 300 * ms, 0, 0, 0, 0, 300 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(8)
			w.hedgeBudget, w.retryBudget = 0, 0
			newer := newWorld(8).front
			newer.ShardMapEpoch = 8
			epochOf := func(target cassiaid.TargetName) cassiaid.Epoch {
				moved := test.first
				if target[len(target)-1] == '1' {
					moved = test.second
				}
				if w.clock.now.Before(epochStart.Add(moved)) {
					return 7
				}
				return 8
			}
			if test.settings == 0 {
				w.front = newer
			}
			var all []Effect
			step := w.begin()
			for at := time.Duration(0); len(effectsOf[Finish](all)) == 0 && at <= test.by; at += 5 * ms {
				if at > 0 {
					step = w.at(at)
				}
				if test.settings > 0 && at >= test.settings {
					w.newerFront = newer
				}
				for len(step) > 0 {
					all = append(all, step...)
					step = w.reply(step, repartition(epochOf))
				}
			}
			f := finishOf(c, all)
			c.Assert(counted(all, CountRestartEpoch), qt.Equals, test.restarts)
			if test.want == 0 {
				c.Assert(f.Refusal.Ran, qt.Equals, RanNo)
				return
			}
			c.Assert(f.Answer, qt.IsNotNil)
			c.Assert(f.Answer.Epoch, qt.Equals, test.want)
			c.Assert(f.Answer.Coverage.Answered, qt.Equals, 8)
		})
	}
}
