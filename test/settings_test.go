package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	exitConflict   = 3
	exitNotInForce = 5
)

// teamYAMLWithDeadline returns the team's settings with the given deadline, so that each edit differs.
func (c *cluster) teamYAMLWithDeadline(milliseconds int) string {
	return strings.ReplaceAll(c.teamYAML(c.layout.fronts), `"2s"`, fmt.Sprintf("%q", fmt.Sprintf("%d.%03ds", milliseconds/1000, milliseconds%1000)))
}

// applyThrough applies the team's settings through one VM with the command line, and returns its exit status and output.
func (c *cluster) applyThrough(v *vm, name, text string, base uint64) (int, string) {
	return runCommand(c.t, "cassiasaddle", "settings", "apply", "--address", v.operatorAddress, "--token", teamToken,
		"--base-revision", fmt.Sprint(base), "--wait", maxSettingsDelay.String(), c.writeFile(name+".yaml", text))
}

// waitGeneration waits until each of the VMs is ready with a settings generation. It fails the test if one is ready with a
// generation below the minimum.
func (c *cluster) waitGeneration(generation, minimum uint64, vms ...*vm) {
	c.t.Helper()
	for _, v := range vms {
		eventually(c.t, maxSettingsDelay, fmt.Sprintf("generation %d on %s", generation, v.name), func() bool {
			s := c.status(v)
			if s.Ready && s.SettingsGeneration < minimum {
				c.t.Fatalf("%s is ready with generation %d, below the minimum %d", v.name, s.SettingsGeneration, minimum)
			}
			return s.Ready && s.SettingsGeneration == generation
		})
	}
}

// TestOperatorsRace applies edits of two operators concurrently. One succeeds, and the other is refused and its operator is
// shown the accepted edit. An edit is made once even if replies of the store are lost.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(4))
	var codes [2]int
	var outputs [2]string
	var both errgroup.Group
	for i := range codes {
		both.Go(func() error {
			codes[i], outputs[i] = cl.applyThrough(cl.vms[i], fmt.Sprintf("operator%d", i), cl.teamYAMLWithDeadline(1500+i), 1)
			return nil
		})
	}
	c.Assert(both.Wait(), qt.IsNil)
	winner := 0
	if codes[0] != 0 {
		winner = 1
	}
	comment := qt.Commentf("%v %v", codes, outputs)
	c.Assert(codes[winner], qt.Equals, 0, comment)
	c.Assert(codes[1-winner], qt.Equals, exitConflict, comment)
	c.Assert(outputs[1-winner], qt.Contains, fmt.Sprintf("1.50%ds", winner))
	c.Assert(outputs[1-winner], qt.Contains, "--base-revision 2")
	c.Assert(cl.revision(team), qt.Equals, uint64(2))

	for lost := 1; lost <= 2; lost++ {
		cl.setPlatformFaults(fmt.Sprintf(`{"loseReplies":%d}`, lost))
		code, output := cl.applyThrough(cl.vms[0], "lost", cl.teamYAMLWithDeadline(1600+lost), uint64(lost)+1)
		c.Assert(code, qt.Equals, 0, qt.Commentf("%s", output))
		c.Assert(cl.revision(team), qt.Equals, uint64(lost)+2)
	}
}

// TestSettingsNeverRevert pauses one VM, edits the settings, takes the store down, restarts another VM and resumes the first.
// The restarted VM must not be ready before it has the last accepted edit, and the resumed VM must catch up to it. The next
// edit must reach all VMs.
func TestSettingsNeverRevert(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(4))
	frozen, replaced := cl.vms[1], cl.vms[len(cl.vms)-1]
	before := cl.status(frozen).SettingsGeneration
	frozen.process.signal(syscall.SIGSTOP)
	code, output := cl.applyThrough(cl.vms[0], "edit", cl.teamYAMLWithDeadline(1500), 1)
	c.Assert(code == 0 || code == exitNotInForce, qt.IsTrue, qt.Commentf("%d %s", code, output))
	if code == exitNotInForce {
		c.Assert(output, qt.Contains, frozen.name)
		c.Assert(output, qt.Not(qt.Contains), replaced.name)
	}
	latest := before + 1
	cl.waitGeneration(latest, before, cl.vms[0], replaced)

	cl.setPlatformFaults(`{"down":true}`)
	replaced.process.signal(syscall.SIGKILL)
	replaced.process.wait(t, waitTimeout)
	cl.startVM(replaced)
	cl.waitGeneration(latest, latest, replaced)
	frozen.process.signal(syscall.SIGCONT)
	cl.waitGeneration(latest, before, frozen)
	cl.waitGeneration(latest, latest, cl.vms...)

	cl.setPlatformFaults(`{}`)
	code, output = cl.applyThrough(replaced, "next", cl.teamYAMLWithDeadline(1700), 2)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", output))
	cl.waitGeneration(latest+1, latest, cl.vms...)
	status, _ := cl.tryGet("http://" + frozen.operatorAddress + "/readyz")
	c.Assert(status, qt.Equals, http.StatusOK)
}
