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

// bookingDeadline is the deadline of a booking. A VM that was paused must not send the booking to a target after it.
const bookingDeadline = 2 * time.Second

func bookingLayout() layout {
	f := newFront("booking", 4, twoZones)
	f.Kind = cassiaschema.RequestKind_nonIdempotent
	f.Fanout = cassiaschema.Fanout_oneShardByKey
	return layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{f, newFront("search", 4, twoZones)}}
}

// book sends a booking. The key is both the idempotency key and the shard key.
func book(v *vm, key, body string) (answer, error) {
	return tryQuery(v, "booking", body, "Idempotency-Key", key, "Shard-Key", key)
}

func bookingKey() string { return uuid.Must(uuid.NewV7()).String() }

// startsByKey returns how many executions of each idempotency key started, over all targets.
func (c *cluster) startsByKey() map[string]int {
	started := map[string]int{}
	for _, e := range c.executions() {
		if e.IdempotencyKey != "" && e.Started() {
			started[e.IdempotencyKey]++
		}
	}
	return started
}

// outcome summarises the answer to a booking: "answered", or the kind of the refusal and whether the booking ran.
func outcome(a answer) string {
	if a.Status == http.StatusOK {
		return "answered"
	}
	return a.Kind + " " + a.Ran
}

// repeatUntil sends a booking repeatedly until it has the wanted outcome.
func (c *cluster) repeatUntil(v *vm, key, want string) answer {
	c.t.Helper()
	var last answer
	var mutex sync.Mutex
	eventually(c.t, waitTimeout, "a repeated booking has the outcome "+want, func() bool {
		a, err := book(v, key, `{"jacket":1}`)
		mutex.Lock()
		defer mutex.Unlock()
		last = a
		return err == nil && outcome(a) == want
	})
	return last
}

// bookThroughAllVMs sends a booking with each key to all VMs concurrently and returns the number of answers.
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
					return fmt.Errorf("booking has the unexpected outcome %q: %s", o, a.Message)
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

// checkStartedOnce requires that no key started more than once on the targets, and each at least minStarts times.
func (c *cluster) checkStartedOnce(keys []string, minStarts int) {
	c.t.Helper()
	started := c.startsByKey()
	for _, key := range keys {
		n := started[key]
		qt.Check(c.t, n <= 1 && n >= minStarts, qt.IsTrue, qt.Commentf("booking %s started %d times, want at most 1 and at least minStarts", key, n))
	}
}

// TestRepeatsRunOnce sends each booking to all VMs concurrently while replies of the store are lost. Each must run once, later
// repeats must get the same answer, and the same key with another body must be refused.
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

// TestRepeatsOverBadLinks sends each booking to all VMs over links that duplicate, lose and reorder packets.
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

// TestZoneCutFromTheStore cuts a zone off from the store and the other zone. The cut zone must refuse bookings as not run, and
// run none of them. The other zone must still answer bookings.
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

// TestStoreDownRefusesBookingsOnly requires that bookings are refused as not run, and did not run, while the store is down,
// and that searches are still answered.
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

// startBooking books in the background on slow targets and returns once a target runs the booking. The returned function waits
// for the answer.
func (c *cluster) startBooking(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	c.setBehaviour("all", `{"medianMs":1500,"sigma":0}`)
	waitAnswer := bookInBackground(v, key)
	eventually(c.t, waitTimeout, "a target runs the booking", func() bool { return c.startsByKey()[key] > 0 })
	return waitAnswer
}

// TestCallerThatLeavesLearnsTheAnswer closes a caller's connection while its booking runs. A repeat gets the answer.
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
			return errors.Join(errors.New("the booking was answered before the caller disconnected"), reply.Body.Close())
		}
		return nil
	})
	eventually(t, waitTimeout, "a target runs the booking", func() bool { return cl.startsByKey()[key] > 0 })
	disconnect()
	c.Assert(group.Wait(), qt.IsNil)
	cl.repeatUntil(cl.vms[3], key, "answered")
	cl.checkStartedOnce([]string{key}, 1)
}

// TestVMKilledWhileItBooks kills the VM that received a booking. Repeats to the other VMs must not run it again.
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

// TestOwnerKilledWhileItBooks kills the owner of a booking's target after the booking was sent to the target. The outcome
// is unknown, and neither the standby owner nor a repeat runs the booking again.
func TestOwnerKilledWhileItBooks(t *testing.T) {
	c := qt.New(t)
	l := firstZoneBookingLayout()
	// A single shard has a single list of owners.
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

// primaryOwner returns the primary owner of a front's targets in the first zone, according to a VM.
func (c *cluster) primaryOwner(v *vm, front string) string {
	for _, o := range c.status(v).Owners {
		if strings.HasSuffix(o.Front, front) && o.Zone == twoZones[0] {
			return o.Owners[0]
		}
	}
	c.t.Fatalf("the status lists no owner of front %s in the first zone", front)
	return ""
}

func (c *cluster) vmByName(name string) *vm {
	for _, v := range c.vms {
		if v.name == name {
			return v
		}
	}
	c.t.Fatalf("the cluster has no VM %s", name)
	return nil
}

// firstZoneBookingLayout returns a layout in which all booking targets, and therefore their owners, are in the first zone.
func firstZoneBookingLayout() layout {
	l := bookingLayout()
	for _, s := range l.fronts[0].Shards {
		for _, r := range s.Targets {
			r.AvailabilityZone = twoZones[0]
		}
	}
	return l
}

// TestVMFrozenBetweenClaimAndDispatch pauses a VM after it sent its claim to the store and before it receives the reply, until
// after the booking's deadline. When the VM resumes it must not send the booking to a target. It releases the claim, so that a
// repeat runs the booking once.
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
		eventually(t, waitTimeout, "the deadline has passed", func() bool { return time.Now().After(resumeAt) })
		frozen.process.signal(syscall.SIGCONT)
		late, err := waitAnswer()
		c.Assert(err, qt.IsNil)
		c.Check(outcome(late), qt.Equals, "notRun no", qt.Commentf(late.Message))
		c.Check(cl.startsByKey()[key], qt.Equals, 0)
		cl.repeatUntil(other, key, "answered")
		c.Check(cl.startsByKey()[key], qt.Equals, 1)
	}
}

// claimDelay is how long the store delays each call, so that a VM can be paused while its claim is on the way. VMs wait longer
// than this for each other's replies.
const claimDelay = 150 * time.Millisecond

// bookAndFreeze books through a VM, pauses the VM while its claim is on the way to the store, and returns once the store has the
// claim. The returned function waits for the answer.
func (c *cluster) bookAndFreeze(v *vm, key string) func() (answer, error) {
	c.t.Helper()
	parsed, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: team, Front: "booking"}, key)
	qt.Assert(c.t, err, qt.IsNil)
	bucket := "http://" + c.platform + "/v1/kv/" + parsed.Bucket().String()
	writes := c.storeWrites()
	c.setPlatformFaults(fmt.Sprintf(`{"delayMs":%d}`, claimDelay.Milliseconds()))
	waitAnswer := bookInBackground(v, key)
	eventually(c.t, waitTimeout, "the claim is on its way to the store", func() bool { return c.storeWrites() > writes })
	v.process.signal(syscall.SIGSTOP)
	eventually(c.t, waitTimeout, "the claim is in the store", func() bool {
		status, _ := c.tryGet(bucket)
		return status == http.StatusOK
	})
	c.setPlatformFaults(`{"delayMs":0}`)
	return waitAnswer
}

// bookInBackground sends a booking in the background and returns a function that waits for the answer.
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

// storeWrites returns the number of writes that the store has received.
func (c *cluster) storeWrites() int {
	c.t.Helper()
	var counters map[string]int
	_, body := c.tryGet("http://" + c.platform + "/standin/counters")
	qt.Assert(c.t, json.Unmarshal(body, &counters), qt.IsNil)
	return counters["put"]
}

// TestLostOwnerIsToldBeforeTheDeadline requires that a caller is answered once membership declares the owner of its booking
// dead, and does not wait for a distant deadline.
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
	eventually(t, waitTimeout, "a target runs the booking", func() bool { return cl.startsByKey()[key] > 0 })
	killed := time.Now()
	cl.vmByName(cl.primaryOwner(cl.vms[2], "booking")).process.signal(syscall.SIGKILL)
	first, err := waitAnswer()
	c.Assert(err, qt.IsNil)
	c.Check(outcome(first), qt.Equals, "outcomeUnknown unknown")
	c.Check(time.Since(killed) < callTimeout, qt.IsTrue, qt.Commentf("after %v", time.Since(killed)))
	t.Logf("answered after %v", time.Since(killed))
	c.Check(cl.startsByKey()[key], qt.Equals, 1)
}

// TestRepeatWhileTheStoreIsDown requires that a booking that ran is never refused as not run, even if its claim can't be read
// and the VM that wrote the claim is dead.
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

// claimWriter returns the VM that writes the claim of a key on behalf of all VMs.
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
