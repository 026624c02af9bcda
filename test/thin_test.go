package test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
)

// TestWholePath proves the path from settings to an answer and a planned stop, with every part a process of its own.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	zones := []string{"zone-a", "zone-b"}
	cl := startCluster(t, layout{zones: zones, vmsPerZone: 2, fronts: []*cassiaschema.Front{newFront("search", 20, zones)}})
	for _, v := range cl.vms {
		a := cl.ask(v, "search", `{"fit":"slim"}`)
		c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", a.Kind, a.Message))
		c.Assert(a.Coverage.Asked, qt.Equals, 20)
		c.Assert(a.Coverage.Answered, qt.Equals, 20)
		seen := map[string]bool{}
		for _, r := range a.Rows {
			c.Assert(r.Snapshot, qt.Equals, a.Snapshot)
			seen[r.Shard] = true
		}
		c.Assert(seen, qt.HasLen, 20)
	}
	for _, v := range cl.vms {
		cl.stop(v)
	}
}
