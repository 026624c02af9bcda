package test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// bookLayout has one front whose requests must not run twice.
func bookLayout() layout {
	front := newFront("book", 1, twoZones)
	front.Kind = cassiaschema.RequestKind_nonIdempotent
	return layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{front}}
}

func newKey(c *qt.C) string {
	key, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	return key.String()
}

// runs returns how many executions of an idempotency key began.
func (c *cluster) runs(key string) int {
	count := 0
	for _, e := range c.executions() {
		if e.IdempotencyKey == key && e.Started() && e.Outcome != cassiashard.OutcomeNotStarted {
			count++
		}
	}
	return count
}

// TestRepeatRunsOnce sends one booking to every VM in turn: it runs once, and every repeat gets its answer.
func TestRepeatRunsOnce(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookLayout())
	key := newKey(c)
	for _, v := range cl.vms {
		a := cl.ask(v, "book", `{"jacket":7}`, "Idempotency-Key", key)
		c.Check(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", a.Kind, a.Message))
	}
	c.Check(cl.runs(key), qt.Equals, 1)
	other := cl.ask(cl.vms[0], "book", `{"jacket":8}`, "Idempotency-Key", key)
	c.Check(other.Kind, qt.Equals, "badRequest")
	c.Check(cl.runs(key), qt.Equals, 1)
}

// TestClaimWithStoreDown: a booking is refused as not run while the store is down, and was not run.
func TestClaimWithStoreDown(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookLayout())
	cl.faults(`{"down":true}`)
	key := newKey(c)
	a := cl.ask(cl.vms[0], "book", `{"jacket":7}`, "Idempotency-Key", key)
	c.Check(a.Kind, qt.Equals, "notRun")
	c.Check(a.Ran, qt.Equals, "no")
	c.Check(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(cl.runs(key), qt.Equals, 0)
	cl.faults(`{"down":false}`)
	eventually(t, startTimeout, "the repeat runs", func() bool {
		return cl.ask(cl.vms[1], "book", `{"jacket":7}`, "Idempotency-Key", key).Status == http.StatusOK
	})
	c.Check(cl.runs(key), qt.Equals, 1)
}
