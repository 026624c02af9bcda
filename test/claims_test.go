package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// bookingDeadline bounds a booking; a paused VM must not send one after it.
const bookingDeadline = 2 * time.Second

func bookingLayout() layout {
	f := newFront("booking", 4, twoZones)
	f.Kind = cassiaschema.RequestKind_nonIdempotent
	f.Fanout = cassiaschema.Fanout_oneShardByKey
	return layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{f, newFront("search", 4, twoZones)}}
}

// book sends a booking; the key also picks the shard.
func book(v *vm, key, body string) (answer, error) {
	return tryAsk(v, "booking", body, "Idempotency-Key", key, "Shard-Key", key)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runs counts the executions of each key that started on any target.
func (c *cluster) runs() map[string]int {
	started := map[string]int{}
	for _, e := range c.executions() {
		if e.IdempotencyKey != "" && e.Started() {
			started[e.IdempotencyKey]++
		}
	}
	return started
}

// outcome is what matters of an answer to a booking.
func outcome(a answer) string {
	if a.Status == http.StatusOK {
		return "answered"
	}
	return a.Kind + " " + a.Ran
}

// repeatUntil sends a booking again and again until it has the wanted outcome.
func (c *cluster) repeatUntil(v *vm, key, want string) answer {
	c.t.Helper()
	var last answer
	var mutex sync.Mutex
	eventually(c.t, startTimeout, "repeat of a booking is "+want, func() bool {
		a, err := book(v, key, `{"jacket":1}`)
		mutex.Lock()
		defer mutex.Unlock()
		last = a
		return err == nil && outcome(a) == want
	})
	return last
}

// bookEverywhere sends each key through all VMs at the same time and returns the number of answers.
func (c *cluster) bookEverywhere(keys []string) int {
	c.t.Helper()
	var answered atomic.Int64
	var group errgroup.Group
	for _, key := range keys {
		for _, v := range c.vms {
			group.Go(func() error {
				a, err := book(v, key, `{"jacket":1}`)
				switch o := outcome(a); {
				case err != nil:
					return err
				case o == "answered":
					answered.Add(1)
				case o != "outcomeUnknown unknown" && o != "notRun no":
					return fmt.Errorf("booking: %s: %s", o, a.Message)
				}
				return nil
			})
		}
	}
	qt.Assert(c.t, group.Wait(), qt.IsNil)
	return int(answered.Load())
}

func newKeys(count int) []string {
	keys := make([]string, count)
	for i := range keys {
		keys[i] = newKey()
	}
	return keys
}

// checkRunOnce requires that no key started more than once on the targets, and each at least as often as asked.
func (c *cluster) checkRunOnce(keys []string, least int) {
	c.t.Helper()
	started := c.runs()
	for _, key := range keys {
		n := started[key]
		qt.Check(c.t, n <= 1 && n >= least, qt.IsTrue, qt.Commentf("%s started %d times", key, n))
	}
}

// TestRepeatsRunOnce sends each booking through all VMs at the same time, with replies of the store lost.
func TestRepeatsRunOnce(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	cl.faults(`{"loseReplies":10}`)
	keys := newKeys(20)
	c.Assert(cl.bookEverywhere(keys) > 0, qt.IsTrue)
	for i, key := range keys {
		first := cl.repeatUntil(cl.vms[i%len(cl.vms)], key, "answered")
		again := cl.repeatUntil(cl.vms[(i+1)%len(cl.vms)], key, "answered")
		c.Assert(again.RequestID, qt.Equals, first.RequestID)
	}
	other, err := book(cl.vms[0], keys[0], `{"jacket":2}`)
	c.Assert(err, qt.IsNil)
	c.Assert(outcome(other), qt.Equals, "badRequest no")
	cl.checkRunOnce(keys, 1)
}

// TestRepeatsOverBadLinks sends each booking through all VMs over links that double, lose and reorder packets.
func TestRepeatsOverBadLinks(t *testing.T) {
	c := qt.New(t)
	l := bookingLayout()
	l.relayed = true
	cl := startCluster(t, l)
	cl.betweenZones(func(*vm, *vm) bool { return true }, `{"delayMs":4,"jitterMs":3,"loss":0.02,"duplicate":0.3,"reorder":0.1}`)
	keys := newKeys(20)
	c.Assert(cl.bookEverywhere(keys) > 0, qt.IsTrue)
	cl.checkRunOnce(keys, 0)
	for _, key := range keys {
		if cl.runs()[key] == 0 {
			cl.repeatUntil(cl.vms[0], key, "answered")
		}
	}
	cl.checkRunOnce(keys, 1)
}

// TestZoneCutFromTheStore cuts a zone from the store and the other zones: its bookings are truly not run, the others go on.
func TestZoneCutFromTheStore(t *testing.T) {
	c := qt.New(t)
	l := ownersInFirstZone()
	l.relayed = true
	cl := startCluster(t, l)
	cl.bookEverywhere(newKeys(1))
	cl.cut("zone-b", true)
	inside, outside := cl.vms[2], cl.vms[0]
	keys := newKeys(5)
	for _, key := range keys {
		a, err := book(inside, key, `{"jacket":1}`)
		c.Assert(err, qt.IsNil)
		c.Assert(outcome(a), qt.Equals, "notRun no", qt.Commentf(a.Message))
	}
	cl.checkRunOnce(keys, 0)
	for _, key := range keys {
		cl.repeatUntil(outside, key, "answered")
	}
	cl.cut("zone-b", false)
	for _, key := range keys {
		cl.repeatUntil(inside, key, "answered")
	}
	cl.checkRunOnce(keys, 1)
}

// TestStoreDownRefusesBookingsOnly proves that bookings are refused as not run, truly, while searches go on.
func TestStoreDownRefusesBookingsOnly(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	cl.faults(`{"down":true}`)
	keys := map[string]bool{}
	for _, v := range cl.vms {
		for range 5 {
			key := newKey()
			keys[key] = true
			a, err := book(v, key, `{"jacket":1}`)
			c.Assert(err, qt.IsNil)
			c.Assert(outcome(a), qt.Equals, "notRun no")
			c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		checkWhole(c, cl.ask(v, "search", `{"fit":"slim"}`), 4)
	}
	c.Assert(cl.runs(), qt.HasLen, 0)
	cl.faults(`{"down":false}`)
	for key := range keys {
		cl.repeatUntil(cl.vms[0], key, "answered")
		c.Assert(cl.runs()[key], qt.Equals, 1)
	}
}

// startBooking books in the background on slow targets and returns once a target runs it.
func (c *cluster) startBooking(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	c.behave("all", `{"medianMs":1500,"sigma":0}`)
	end := inBackground(v, key)
	eventually(c.t, startTimeout, "a target runs the booking", func() bool { return c.runs()[key] > 0 })
	return end
}

// TestVMKilledWhileItBooks kills the VM that took a booking; repeats to the others never run it again.
func TestVMKilledWhileItBooks(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	key := newKey()
	end := cl.startBooking(cl.vms[0], key)
	cl.vms[0].process.signal(syscall.SIGKILL)
	_, err := end()
	c.Assert(err, qt.IsNotNil)
	for range 3 {
		for _, v := range cl.vms[1:] {
			a, err := book(v, key, `{"jacket":1}`)
			c.Assert(err, qt.IsNil)
			c.Assert(a.Kind, qt.Not(qt.Equals), "")
			c.Assert(a.Ran, qt.Not(qt.Equals), "yes")
		}
	}
	cl.repeatUntil(cl.vms[1], key, "outcomeUnknown unknown")
	c.Assert(cl.runs()[key], qt.Equals, 1)
}

// TestOwnerKilledWhileItBooks kills the owner of a booking's target after the dispatch: the outcome is unknown, and
// neither the standby owner nor a repeat runs it again.
func TestOwnerKilledWhileItBooks(t *testing.T) {
	c := qt.New(t)
	l := ownersInFirstZone()
	// With one shard the front has one owner, so that the VM killed is the one that runs the booking.
	l.fronts[0].Shards = l.fronts[0].Shards[:1]
	cl := startCluster(t, l)
	key := newKey()
	end := cl.startBooking(cl.vms[2], key)
	cl.vmNamed(cl.firstOwner(cl.vms[2], "booking")).process.signal(syscall.SIGKILL)
	first, err := end()
	c.Assert(err, qt.IsNil)
	c.Assert(outcome(first), qt.Equals, "outcomeUnknown unknown", qt.Commentf("%+v", cl.status(cl.vms[2]).Owners))
	for _, v := range cl.vms[2:] {
		cl.repeatUntil(v, key, "outcomeUnknown unknown")
	}
	c.Assert(cl.runs()[key], qt.Equals, 1)
}

// firstOwner returns the best owner of a front's targets in the first zone, as a VM sees it.
func (c *cluster) firstOwner(v *vm, front string) string {
	for _, o := range c.status(v).Owners {
		if strings.HasSuffix(o.Front, front) && o.Zone == twoZones[0] {
			return o.Owners[0]
		}
	}
	c.t.Fatalf("no owner of %s", front)
	return ""
}

func (c *cluster) vmNamed(name string) *vm {
	for _, v := range c.vms {
		if v.name == name {
			return v
		}
	}
	c.t.Fatalf("no VM %s", name)
	return nil
}

// ownersInFirstZone is a layout whose bookings' targets, and so their owners, are all in the first zone.
func ownersInFirstZone() layout {
	l := bookingLayout()
	for _, s := range l.fronts[0].Shards {
		for _, r := range s.Targets {
			r.AvailabilityZone = twoZones[0]
		}
	}
	return l
}

// TestVMFrozenBetweenClaimAndDispatch freezes a VM before it learns that its claim was written, until after the booking's
// deadline: it must not send the booking when it goes on, and gives the claim back, so that a repeat runs it once.
func TestVMFrozenBetweenClaimAndDispatch(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, ownersInFirstZone())
	other := cl.vms[0]
	for _, frozen := range cl.vms[2:] {
		key := newKey()
		end := cl.freezeWhileClaiming(frozen, key)
		thawAt := time.Now().Add(bookingDeadline + 500*time.Millisecond)
		repeat, err := book(other, key, `{"jacket":1}`)
		c.Assert(err, qt.IsNil)
		c.Check(outcome(repeat), qt.Equals, "outcomeUnknown unknown", qt.Commentf(repeat.Message))
		eventually(t, startTimeout, "the deadline has passed", func() bool { return time.Now().After(thawAt) })
		frozen.process.signal(syscall.SIGCONT)
		late, err := end()
		c.Assert(err, qt.IsNil)
		c.Check(outcome(late), qt.Equals, "notRun no", qt.Commentf(late.Message))
		c.Check(cl.runs()[key], qt.Equals, 0)
		cl.repeatUntil(other, key, "answered")
		c.Check(cl.runs()[key], qt.Equals, 1)
	}
}

// claimDelay is how long the store takes while a VM is frozen; VMs wait longer for each other.
const claimDelay = 150 * time.Millisecond

// freezeWhileClaiming books through a VM and freezes it before the store has taken its claim.
func (c *cluster) freezeWhileClaiming(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	parsed, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: team, Front: "booking"}, key)
	qt.Assert(c.t, err, qt.IsNil)
	bucket := "http://" + c.platform + "/v1/kv/" + parsed.Bucket().String()
	puts := c.puts()
	c.faults(fmt.Sprintf(`{"delayMs":%d}`, claimDelay.Milliseconds()))
	end := inBackground(v, key)
	eventually(c.t, startTimeout, "the claim is on its way to the store", func() bool { return c.puts() > puts })
	v.process.signal(syscall.SIGSTOP)
	eventually(c.t, startTimeout, "the claim is in the store", func() bool {
		status, _ := c.tryGet(bucket)
		return status == http.StatusOK
	})
	c.faults(`{"delayMs":0}`)
	return end
}

// inBackground books beside the test and returns how to wait for the answer.
func inBackground(v *vm, key string) func() (answer, error) {
	var a answer
	var group errgroup.Group
	group.Go(func() error {
		var err error
		a, err = book(v, key, `{"jacket":1}`)
		return err
	})
	return func() (answer, error) {
		err := group.Wait()
		return a, err
	}
}

// puts returns how many writes the store has taken.
func (c *cluster) puts() int {
	c.t.Helper()
	var counters map[string]int
	_, body := c.tryGet("http://" + c.platform + "/standin/counters")
	qt.Assert(c.t, json.Unmarshal(body, &counters), qt.IsNil)
	return counters["put"]
}
