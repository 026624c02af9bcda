package test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

const servePause, servePausedRequests = 5 * time.Second, 40

// queryPaused pauses a VM, has the cluster changed meanwhile and sends queries that wait for the VM. It returns their answers and when
// the VM went on.
func (c *cluster) queryPaused(paused *vm, change func()) (answers []answer, resumed time.Time) {
	for i := range servePausedRequests {
		checkComplete(qt.New(c.t), c.query(paused, "search", fmt.Sprintf(`{"n":%d}`, i)), 8)
	}
	paused.process.signal(syscall.SIGSTOP)
	begun := time.Now()
	change()
	const waitBefore = 500 * time.Millisecond
	sleep(time.Until(begun.Add(servePause - waitBefore)))
	var callers errgroup.Group
	answers = make([]answer, servePausedRequests)
	for i := range answers {
		callers.Go(func() error {
			var err error
			answers[i], err = tryQuery(paused, "search", fmt.Sprintf(`{"paused":%d}`, i))
			return err
		})
	}
	sleep(waitBefore)
	resumed = time.Now()
	paused.process.signal(syscall.SIGCONT)
	qt.Assert(c.t, callers.Wait(), qt.IsNil)
	return answers, resumed
}

// TestServePausedVMSendsNothingToTargetsThatLeftMeanwhile guards against a VM that was paused sending the queries that wait for it by what
// it knew before the pause.
func TestServePausedVMSendsNothingToTargetsThatLeftMeanwhile(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	paused := cl.vms[0]
	var leaving []string
	answers, resumed := cl.queryPaused(paused, func() {
		for _, shard := range cl.layout.fronts[0].Shards {
			for _, target := range shard.Targets {
				if target.AvailabilityZone == paused.zone {
					leaving = append(leaving, target.Name)
					cl.send(http.MethodPut, "http://"+cl.platform+"/v1/targets/leaving/"+target.Name, struct{}{})
				}
			}
		}
	})
	late := 0
	for _, name := range leaving {
		late += len(cl.runsOf(name, arrivedAfter(resumed)))
	}
	t.Logf("%d attempts reached targets that had left", late)
	c.Check(late, qt.Equals, 0)
	for _, a := range answers {
		checkComplete(c, a, 8)
	}
}

// TestServePausedVMServesByTheSettingsInForce guards against a VM that was paused serving the queries that wait for it by the settings from
// before the pause.
func TestServePausedVMServesByTheSettingsInForce(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	// The edit goes through the first VM.
	paused := cl.vms[1]
	changed := withAddressesOf(cl.layout.fronts[0], newFront("search", 6, twoZones))
	answers, _ := cl.queryPaused(paused, func() {
		_, output := cl.tryApply(team, cl.teamYAML([]*cassiaschema.Front{changed}), teamToken, cl.revision(team))
		t.Logf("the edit, while a VM is paused: %s", output)
	})
	old := 0
	for _, a := range answers {
		if a.Coverage.Asked != 6 {
			old++
		}
	}
	c.Check(old, qt.Equals, 0, qt.Commentf("%d of %d answers follow the old settings", old, len(answers)))
}
