package test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWholePath covers the path from applied settings to complete answers and a planned stop, with all components as separate
// processes.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(20))
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 20)
	}
	for _, v := range cl.vms {
		eventually(t, waitTimeout, v.name+" lists the settings generation of each VM", func() bool {
			for _, m := range cl.status(v).Members {
				if m.SettingsGeneration != 2 {
					return false
				}
			}
			return true
		})
	}
	for _, e := range cl.executions() {
		c.Assert(e.ShardMapEpoch, qt.Equals, uint64(1))
	}
	for _, v := range cl.vms {
		cl.stop(v)
	}
}
