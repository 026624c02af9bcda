package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaschema"
)

// adaptTimeout limits the wait until VMs have adapted to a cut, to its end or to a pause, on both sides.
const adaptTimeout = 30 * time.Second

// lossyLinks are link faults: 5 ms one-way delay as between the zones of the example deployment manizales, jitter, and 1% loss.
const lossyLinks = `{"delayMs":5,"jitterMs":2,"loss":0.01}`

// TestZoneCut requires that each side of a cut answers from the shards that it can reach and states its coverage, and that the
// sides reconnect by themselves after the cut.
func TestZoneCut(t *testing.T) {
	c := qt.New(t)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	front := newFront("search", 9, zones)
	cl := startCluster(t, layout{zones: zones, vmsPerZone: 2, fronts: []*cassiaschema.Front{front}, relayed: true})
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 9)
	}
	cl.setZoneCut("zone-a", true)
	inside, outside := cl.vms[0], cl.vms[2]
	// Each shard has replicas in two of the three zones, so the larger side reaches all shards. The cut zone lacks only the third
	// of the shards that have no replica in it.
	eventually(t, adaptTimeout, "the larger side answers from all shards", func() bool {
		a := cl.query(outside, "search", `{"fit":"wide"}`)
		checkConsistent(c, a)
		return a.Coverage.Answered == 9
	})
	eventually(t, adaptTimeout, "the cut zone answers from the shards that it can reach", func() bool {
		a := cl.query(inside, "search", `{"fit":"wide"}`)
		checkConsistent(c, a)
		return a.Coverage.Answered == 6
	})
	// The cut lasts until each side has declared the other dead. The platform is down when the cut ends, so that the sides can
	// find each other only through gossip.
	eventually(t, adaptTimeout, "each side lists only its own VMs as members", func() bool {
		return len(cl.status(inside).Members) == 2 && len(cl.status(outside).Members) == 4
	})
	for range 5 {
		a := cl.query(inside, "search", `{"fit":"wide"}`)
		checkConsistent(c, a)
		c.Assert(a.Coverage.Answered, qt.Equals, 6, qt.Commentf("the VMs of the cut zone reach only its own targets"))
		checkComplete(c, cl.query(outside, "search", `{"fit":"wide"}`), 9)
	}
	cl.setPlatformFaults(`{"down":true}`)
	cl.setZoneCut("zone-a", false)
	eventually(t, adaptTimeout, "both sides list all members and the cut zone answers from all shards", func() bool {
		return len(cl.status(inside).Members) == 6 && len(cl.status(outside).Members) == 6 &&
			cl.query(inside, "search", `{"fit":"wide"}`).Coverage.Answered == 9
	})
}

// TestZoneCutRefusesAtOnce requires that a request that can't reach its minimum coverage is refused before its deadline.
func TestZoneCutRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	front := newFront("search", 9, zones)
	const deadline = 2 * time.Second
	front.MinCoverage, front.Deadline = 0.9, durationpb.New(deadline)
	cl := startCluster(t, layout{zones: zones, vmsPerZone: 2, fronts: []*cassiaschema.Front{front}, relayed: true})
	inside := cl.vms[0]
	for range 20 {
		checkComplete(c, cl.query(inside, "search", `{"fit":"slim"}`), 9)
	}
	cl.setZoneCut("zone-a", true)
	// The first request discovers the cut and may take until its deadline. Later ones are refused at once, except
	// those that are used to probe unreachable owners, which wait briefly for an answer.
	for i, bound := range []time.Duration{deadline, deadline / 8, deadline / 8, deadline / 8, deadline / 8} {
		a := cl.query(inside, "search", `{"fit":"wide"}`)
		c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", a.Message))
		c.Assert(a.RetryAfterMs > 0, qt.IsTrue)
		c.Assert(a.Took < bound, qt.IsTrue, qt.Commentf("request %d took %v: %s", i, a.Took, a.Message))
	}
	cl.setZoneCut("zone-a", false)
	eventually(t, adaptTimeout, "the cut zone reaches the minimum coverage again", func() bool {
		return cl.query(inside, "search", `{"fit":"wide"}`).Status == http.StatusOK
	})
}

// TestLossyLinks requires complete answers over links between zones that delay packets with jitter and lose some. That includes
// bookings, which get neither a hedge nor a retry.
func TestLossyLinks(t *testing.T) {
	const bookings, atOnce = 300, 4
	c := qt.New(t)
	l := bookingLayout()
	l.relayed = true
	cl := startCluster(t, l)
	cl.setLinkFaults(func(from, to *vm) bool { return from.zone != to.zone }, lossyLinks)
	for range 10 {
		for _, v := range cl.vms {
			checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 4)
		}
	}
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i := range bookings {
		group.Go(func() error {
			a, err := book(cl.vms[i%len(cl.vms)], bookingKey(), `{"jacket":1}`)
			if err == nil && outcome(a) != "answered" {
				err = fmt.Errorf("%s: %s", outcome(a), a.Message)
			}
			return err
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// TestZoneCutWithStoreDown combines two faults: a zone is cut off while the platform is down. New settings are applied after
// both have ended.
func TestZoneCutWithStoreDown(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, layout{zones: twoZones, vmsPerZone: 2, relayed: true,
		fronts: []*cassiaschema.Front{newFront("search", 8, twoZones)}})
	cl.setPlatformFaults(`{"down":true}`)
	cl.setZoneCut("zone-b", true)
	for _, v := range cl.vms {
		eventually(t, adaptTimeout, v.name+" serves all shards from its own zone", func() bool {
			a := cl.query(v, "search", `{"fit":"wide"}`)
			checkConsistent(c, a)
			return a.Coverage.Answered == 8
		})
	}
	eventually(t, adaptTimeout, "each side lists only its own VMs as members", func() bool {
		return len(cl.status(cl.vms[0]).Members) == 2 && len(cl.status(cl.vms[3]).Members) == 2
	})
	cl.setPlatformFaults(`{"down":false}`)
	cl.setZoneCut("zone-b", false)
	changed := withAddressesOf(cl.layout.fronts[0], newFront("search", 6, twoZones))
	eventually(t, adaptTimeout, "both sides list all members", func() bool {
		return len(cl.status(cl.vms[0]).Members) == 4 && len(cl.status(cl.vms[3]).Members) == 4
	})
	cl.apply(team, cl.teamYAML([]*cassiaschema.Front{changed}), teamToken)
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"new"}`), 6)
	}
}
