package test

import (
	"context"
	"encoding/json"
	"errors"
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
	"google.golang.org/protobuf/types/known/durationpb"

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
	return tryQuery(v, "booking", body, "Idempotency-Key", key, "Shard-Key", key)
}

func bookingKey() string { return uuid.Must(uuid.NewV7()).String() }

// startsByKey counts the executions of each key that started on any target.
func (c *cluster) startsByKey() map[string]int {
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

// bookThroughAllVMs sends each key through all VMs at the same time and returns the number of answers.
func (c *cluster) bookThroughAllVMs(keys []string) int {
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

func bookingKeys(count int) []string {
	keys := make([]string, count)
	for i := range keys {
		keys[i] = bookingKey()
	}
	return keys
}

// checkStartedOnce requires that no key started more than once on the targets, and each at least as often as asked.
func (c *cluster) checkStartedOnce(keys []string, minStarts int) {
	c.t.Helper()
	started := c.startsByKey()
	for _, key := range keys {
		n := started[key]
		qt.Check(c.t, n <= 1 && n >= minStarts, qt.IsTrue, qt.Commentf("%s started %d times", key, n))
	}
}

// TestRepeatsRunOnce sends each booking through all VMs at the same time, with replies of the store lost.
func TestRepeatsRunOnce(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	cl.setPlatformFaults(`{"loseReplies":10}`)
	keys := bookingKeys(20)
	c.Assert(cl.bookThroughAllVMs(keys) > 0, qt.IsTrue)
	for i, key := range keys {
		first := cl.repeatUntil(cl.vms[i%len(cl.vms)], key, "answered")
		again := cl.repeatUntil(cl.vms[(i+1)%len(cl.vms)], key, "answered")
		c.Assert(again.RequestID, qt.Equals, first.RequestID)
	}
	other, err := book(cl.vms[0], keys[0], `{"jacket":2}`)
	c.Assert(err, qt.IsNil)
	c.Assert(outcome(other), qt.Equals, "badRequest no")
	cl.checkStartedOnce(keys, 1)
}

// TestRepeatsOverBadLinks sends each booking through all VMs over links that double, lose and reorder packets.
func TestRepeatsOverBadLinks(t *testing.T) {
	c := qt.New(t)
	l := bookingLayout()
	l.relayed = true
	cl := startCluster(t, l)
	cl.setLinkFaults(func(*vm, *vm) bool { return true }, `{"delayMs":4,"jitterMs":3,"loss":0.02,"duplicate":0.3,"reorder":0.1}`)
	keys := bookingKeys(20)
	c.Assert(cl.bookThroughAllVMs(keys) > 0, qt.IsTrue)
	cl.checkStartedOnce(keys, 0)
	for _, key := range keys {
		if cl.startsByKey()[key] == 0 {
			cl.repeatUntil(cl.vms[0], key, "answered")
		}
	}
	cl.checkStartedOnce(keys, 1)
}

// TestZoneCutFromTheStore cuts a zone from the store and the other zones: its bookings are truly not run, the others go on.
func TestZoneCutFromTheStore(t *testing.T) {
	c := qt.New(t)
	l := firstZoneBookingLayout()
	l.relayed = true
	cl := startCluster(t, l)
	cl.bookThroughAllVMs(bookingKeys(1))
	cl.setZoneCut("zone-b", true)
	inside, outside := cl.vms[2], cl.vms[0]
	keys := bookingKeys(5)
	for _, key := range keys {
		a, err := book(inside, key, `{"jacket":1}`)
		c.Assert(err, qt.IsNil)
		c.Assert(outcome(a), qt.Equals, "notRun no", qt.Commentf(a.Message))
	}
	cl.checkStartedOnce(keys, 0)
	for _, key := range keys {
		cl.repeatUntil(outside, key, "answered")
	}
	cl.setZoneCut("zone-b", false)
	for _, key := range keys {
		cl.repeatUntil(inside, key, "answered")
	}
	cl.checkStartedOnce(keys, 1)
}

// TestStoreDownRefusesBookingsOnly proves that bookings are refused as not run, truly, while searches go on.
func TestStoreDownRefusesBookingsOnly(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	cl.setPlatformFaults(`{"down":true}`)
	keys := map[string]bool{}
	for _, v := range cl.vms {
		for range 5 {
			key := bookingKey()
			keys[key] = true
			a, err := book(v, key, `{"jacket":1}`)
			c.Assert(err, qt.IsNil)
			c.Assert(outcome(a), qt.Equals, "notRun no")
			c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 4)
	}
	c.Assert(cl.startsByKey(), qt.HasLen, 0)
	cl.setPlatformFaults(`{"down":false}`)
	for key := range keys {
		cl.repeatUntil(cl.vms[0], key, "answered")
		c.Assert(cl.startsByKey()[key], qt.Equals, 1)
	}
}

// startBooking books in the background on slow targets and returns once a target runs it.
func (c *cluster) startBooking(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	c.setBehaviour("all", `{"medianMs":1500,"sigma":0}`)
	waitAnswer := bookInBackground(v, key)
	eventually(c.t, startTimeout, "a target runs the booking", func() bool { return c.startsByKey()[key] > 0 })
	return waitAnswer
}

// TestCallerThatLeavesLearnsTheAnswer breaks a caller's connection while its booking runs: a repeat gets the answer.
func TestCallerThatLeavesLearnsTheAnswer(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	cl.setBehaviour("all", `{"medianMs":1000,"sigma":0}`)
	key := bookingKey()
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+cl.vms[0].callerAddress+"/v1/teams/"+team+"/fronts/booking/query", strings.NewReader(`{"jacket":1}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Shard-Key", key)
	var group errgroup.Group
	group.Go(func() error {
		reply, err := http.DefaultClient.Do(request)
		if err == nil {
			return errors.Join(errors.New("answered before the caller left"), reply.Body.Close())
		}
		return nil
	})
	eventually(t, startTimeout, "a target runs the booking", func() bool { return cl.startsByKey()[key] > 0 })
	disconnect()
	c.Assert(group.Wait(), qt.IsNil)
	cl.repeatUntil(cl.vms[3], key, "answered")
	cl.checkStartedOnce([]string{key}, 1)
}

// TestVMKilledWhileItBooks kills the VM that took a booking; repeats to the others never run it again.
func TestVMKilledWhileItBooks(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	key := bookingKey()
	waitAnswer := cl.startBooking(cl.vms[0], key)
	cl.vms[0].process.signal(syscall.SIGKILL)
	_, err := waitAnswer()
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
	c.Assert(cl.startsByKey()[key], qt.Equals, 1)
}

// TestOwnerKilledWhileItBooks kills the owner of a booking's target after the dispatch: the outcome is unknown, and
// neither the standby owner nor a repeat runs it again.
func TestOwnerKilledWhileItBooks(t *testing.T) {
	c := qt.New(t)
	l := firstZoneBookingLayout()
	// With one shard there is one list of owners.
	l.fronts[0].Shards = l.fronts[0].Shards[:1]
	cl := startCluster(t, l)
	key := bookingKey()
	waitAnswer := cl.startBooking(cl.vms[2], key)
	cl.vmByName(cl.primaryOwner(cl.vms[2], "booking")).process.signal(syscall.SIGKILL)
	first, err := waitAnswer()
	c.Assert(err, qt.IsNil)
	c.Assert(outcome(first), qt.Equals, "outcomeUnknown unknown")
	for _, v := range cl.vms[2:] {
		cl.repeatUntil(v, key, "outcomeUnknown unknown")
	}
	c.Assert(cl.startsByKey()[key], qt.Equals, 1)
}

// primaryOwner returns the best owner of a front's targets in the first zone, as a VM sees it.
func (c *cluster) primaryOwner(v *vm, front string) string {
	for _, o := range c.status(v).Owners {
		if strings.HasSuffix(o.Front, front) && o.Zone == twoZones[0] {
			return o.Owners[0]
		}
	}
	c.t.Fatalf("no owner of %s", front)
	return ""
}

func (c *cluster) vmByName(name string) *vm {
	for _, v := range c.vms {
		if v.name == name {
			return v
		}
	}
	c.t.Fatalf("no VM %s", name)
	return nil
}

// firstZoneBookingLayout is a layout whose bookings' targets, and so their owners, are all in the first zone.
func firstZoneBookingLayout() layout {
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
	cl := startCluster(t, firstZoneBookingLayout())
	other := cl.vms[0]
	for _, frozen := range cl.vms[2:] {
		key := bookingKey()
		waitAnswer := cl.bookAndFreeze(frozen, key)
		resumeAt := time.Now().Add(bookingDeadline + 500*time.Millisecond)
		repeat, err := book(other, key, `{"jacket":1}`)
		c.Assert(err, qt.IsNil)
		c.Check(outcome(repeat), qt.Equals, "outcomeUnknown unknown", qt.Commentf(repeat.Message))
		eventually(t, startTimeout, "the deadline has passed", func() bool { return time.Now().After(resumeAt) })
		frozen.process.signal(syscall.SIGCONT)
		late, err := waitAnswer()
		c.Assert(err, qt.IsNil)
		c.Check(outcome(late), qt.Equals, "notRun no", qt.Commentf(late.Message))
		c.Check(cl.startsByKey()[key], qt.Equals, 0)
		cl.repeatUntil(other, key, "answered")
		c.Check(cl.startsByKey()[key], qt.Equals, 1)
	}
}

// claimDelay is how long the store takes while a VM is frozen; VMs wait longer for each other.
const claimDelay = 150 * time.Millisecond

// bookAndFreeze books through a VM and freezes it before the store has taken its claim.
func (c *cluster) bookAndFreeze(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	parsed, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: team, Front: "booking"}, key)
	qt.Assert(c.t, err, qt.IsNil)
	bucket := "http://" + c.platform + "/v1/kv/" + parsed.Bucket().String()
	puts := c.storeWrites()
	c.setPlatformFaults(fmt.Sprintf(`{"delayMs":%d}`, claimDelay.Milliseconds()))
	waitAnswer := bookInBackground(v, key)
	eventually(c.t, startTimeout, "the claim is on its way to the store", func() bool { return c.storeWrites() > puts })
	v.process.signal(syscall.SIGSTOP)
	eventually(c.t, startTimeout, "the claim is in the store", func() bool {
		status, _ := c.tryGet(bucket)
		return status == http.StatusOK
	})
	c.setPlatformFaults(`{"delayMs":0}`)
	return waitAnswer
}

// bookInBackground books beside the test and returns how to wait for the answer.
func bookInBackground(v *vm, key string) func() (answer, error) {
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

// storeWrites returns how many writes the store has taken.
func (c *cluster) storeWrites() int {
	c.t.Helper()
	var counters map[string]int
	_, body := c.tryGet("http://" + c.platform + "/standin/counters")
	qt.Assert(c.t, json.Unmarshal(body, &counters), qt.IsNil)
	return counters["put"]
}

// TestLostOwnerIsToldBeforeTheDeadline: a caller learns that the owner of its booking is dead once membership does, and
// does not wait for a far deadline.
func TestLostOwnerIsToldBeforeTheDeadline(t *testing.T) {
	c := qt.New(t)
	const farDeadline = 60 * time.Second
	l := firstZoneBookingLayout()
	l.fronts[0].Shards = l.fronts[0].Shards[:1]
	l.fronts[0].Deadline = durationpb.New(farDeadline)
	cl := startCluster(t, l)
	key := bookingKey()
	cl.setBehaviour("all", `{"medianMs":40000,"sigma":0}`)
	waitAnswer := bookInBackground(cl.vms[2], key)
	eventually(t, startTimeout, "a target runs the booking", func() bool { return cl.startsByKey()[key] > 0 })
	killed := time.Now()
	cl.vmByName(cl.primaryOwner(cl.vms[2], "booking")).process.signal(syscall.SIGKILL)
	first, err := waitAnswer()
	c.Assert(err, qt.IsNil)
	c.Check(outcome(first), qt.Equals, "outcomeUnknown unknown")
	c.Check(time.Since(killed) < callTimeout, qt.IsTrue, qt.Commentf("after %v", time.Since(killed)))
	t.Logf("told after %v", time.Since(killed))
	c.Check(cl.startsByKey()[key], qt.Equals, 1)
}

// TestRepeatWhileTheStoreIsDown: a booking that ran is never refused as not run, also when its claim can't be read and
// the VM that wrote it is dead.
func TestRepeatWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	key := bookingKey()
	writer := cl.claimWriter(key)
	var others []*vm
	for _, v := range cl.vms {
		if v != writer {
			others = append(others, v)
		}
	}
	cl.repeatUntil(others[0], key, "answered")
	cl.setPlatformFaults(`{"down":true}`)
	writer.process.signal(syscall.SIGKILL)
	for range 5 {
		for _, v := range others {
			a, err := book(v, key, `{"jacket":1}`)
			c.Assert(err, qt.IsNil)
			c.Check(a.Ran, qt.Not(qt.Equals), "no", qt.Commentf("%s: %s", outcome(a), a.Message))
		}
	}
	cl.checkStartedOnce([]string{key}, 1)
}

// claimWriter returns the VM that writes a key's claim for all.
func (c *cluster) claimWriter(text string) *vm {
	c.t.Helper()
	var names []cassiaid.VMName
	for _, v := range c.vms {
		names = append(names, cassiaid.VMName(v.name))
	}
	key, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: team, Front: "booking"}, text)
	qt.Assert(c.t, err, qt.IsNil)
	return c.vmByName(string(cassiaclaim.WriterOf(key.Bucket(), names)))
}
