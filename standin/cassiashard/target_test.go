package cassiashard

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

// testTimeout is how long a test polls for a condition before it fails.
const testTimeout = 10 * time.Second

// testTarget is a running target with an HTTP client for it.
type testTarget struct {
	*qt.C
	target *Target
	client *http.Client
}

func newTestTarget(t *testing.T, change func(*Behaviour)) testTarget {
	c := qt.New(t)
	// The host is 127.77.0.1 because other programs open their connections from 127.0.0.1, and one of them could
	// take the port while the target is down.
	listener, err := net.Listen("tcp", "127.77.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	b := DefaultBehaviour()
	b.ConnectMs, b.MedianMs, b.HeldSnapshots, b.ShardMapEpoch = 0, 1, []uint64{41, 42}, 7
	change(&b)
	target := NewTarget(Options{Name: "t-1", Address: address, Seed: 1, Behaviour: b})
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error { return target.Run(ctx, func() { close(ready) }) })
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		stop()
		c.Assert(group.Wait(), qt.IsNil)
	})
	<-ready
	return testTarget{C: c, target: target, client: &http.Client{Transport: transport}}
}

// callReply is the reply to a call; status 0 means that the connection was closed without a reply.
type callReply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r testTarget) call(path, body string, headers ...string) callReply {
	request, err := http.NewRequest("POST", "http://"+r.target.Address()+path, strings.NewReader(body))
	r.Assert(err, qt.IsNil)
	request.GetBody = nil
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	reply, err := r.client.Do(request)
	if err != nil {
		return callReply{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	content, err := io.ReadAll(reply.Body)
	return callReply{reply.StatusCode, reply.Header, strings.TrimSpace(string(content)), err}
}

func (r testTarget) eventually(description string, condition func() bool) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	r.Fatalf("condition not met in time: %s", description)
}

func TestRepliesOfOneAttempt(t *testing.T) {
	rows := `{"shard":"s-1","snapshot":42,"bodyHash":"` + BodyHash([]byte("q")) + `"}`
	tests := []struct {
		name       string
		change     func(*Behaviour)
		headers    []string
		status     int
		notStarted string
		body       string
	}{
		{"newest", func(*Behaviour) {}, []string{"Snapshot", "0"}, 200, "", rows},
		{"pinned", func(*Behaviour) {}, []string{"Snapshot", "42", "Shard-Map-Epoch", "7"}, 200, "", rows},
		{"gone", func(*Behaviour) {}, []string{"Snapshot", "40"}, 410, "snapshotGone", ""},
		{"epoch", func(*Behaviour) {}, []string{"Shard-Map-Epoch", "6"}, 409, "repartitioned", ""},
		{"shard", func(b *Behaviour) { b.Shards = []string{"s-2"} }, nil, 409, "repartitioned", ""},
		{"draining", func(b *Behaviour) { b.Draining = true }, nil, 503, "draining", ""},
		{"cold", func(b *Behaviour) { b.ColdMs = 60000 }, nil, 503, "cold", ""},
		{"deadline in the queue", func(b *Behaviour) { b.Slots = 0 }, []string{"Deadline-Ms", "1"}, 504, "deadline", ""},
		{"deadline while running", func(b *Behaviour) { b.MedianMs = 60000 }, []string{"Deadline-Ms", "5"}, 504, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestTarget(t, test.change)
			got := r.call("/shard", "q", append([]string{"Attempt-Id", "5", "Shard", "s-1"}, test.headers...)...)
			r.Assert(got.status, qt.Equals, test.status)
			r.Assert(got.header.Get("Not-Started"), qt.Equals, test.notStarted)
			r.Assert(got.header.Get("Held-Snapshots"), qt.Equals, "41,42")
			r.Assert(got.header.Get("Shard-Map-Epoch"), qt.Equals, "7")
			r.Assert(got.header.Get("Attempt-Id"), qt.Equals, "5")
			if test.body != "" {
				r.Assert(got.body, qt.Equals, test.body)
			}
			log := r.target.Log()
			r.Assert(log, qt.HasLen, 1)
			r.Assert(log[0].Started(), qt.Equals, test.notStarted == "")
			r.Assert(log[0].Outcome == OutcomeRan, qt.Equals, test.status == 200)
		})
	}
}

func TestCancelStopsQueuedAndRunning(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.Slots, b.MedianMs, b.ShedAbove = 1, 60000, 1 })
	var group errgroup.Group
	replies := make([]callReply, 2)
	start := func(i int) {
		group.Go(func() error {
			replies[i] = r.call("/shard", "q", "Attempt-Id", fmt.Sprint(i))
			return nil
		})
	}
	start(0)
	r.eventually("first runs", func() bool { log := r.target.Log(); return len(log) == 1 && log[0].Started() })
	start(1)
	r.eventually("second waits", func() bool { return len(r.target.Log()) == 2 })

	r.Assert(r.call("/shard", "q", "Attempt-Id", "2").header.Get("Not-Started"), qt.Equals, "overloaded")
	for _, id := range []string{"1", "0", "9"} {
		r.Assert(r.call("/cancel", "", "Attempt-Id", id).status, qt.Equals, 204)
	}
	r.Assert(group.Wait(), qt.IsNil)
	log := r.target.Log()
	r.Assert(log[0].Outcome, qt.Equals, OutcomeCancelled)
	r.Assert(replies[0].header.Get("Not-Started"), qt.Equals, "")
	r.Assert(log[1].Outcome, qt.Equals, OutcomeNotStarted)
	r.Assert(replies[1].header.Get("Not-Started"), qt.Equals, "cancelled")
}

func TestCrashEndsAllConnectionsAndRestarts(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.MedianMs, b.CrashMarker, b.RestartMs = 60000, "poison", 2000 })
	var group errgroup.Group
	group.Go(func() error {
		if got := r.call("/shard", "innocent", "Attempt-Id", "1"); got.status != 0 {
			return fmt.Errorf("answered with %d", got.status)
		}
		return nil
	})
	r.eventually("innocent runs", func() bool { return len(r.target.Log()) == 1 && r.target.Log()[0].Started() })
	r.Assert(r.call("/shard", "a poison b", "Attempt-Id", "2").status, qt.Equals, 0)
	r.Assert(group.Wait(), qt.IsNil)
	r.eventually("refuses connections", func() bool {
		conn, err := net.Dial("tcp", r.target.Address())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	r.eventually("both are logged as crashed", func() bool {
		log := r.target.Log()
		return len(log) == 2 && log[0].Outcome == OutcomeCrashed && log[1].Outcome == OutcomeCrashed
	})
	r.target.UpdateBehaviour(func(b *Behaviour) { b.MedianMs = 1 })
	r.eventually("restarted", func() bool { return r.call("/shard", "q").status == 200 })
	r.Assert(r.target.Counters().Crashes, qt.Equals, 1)
}

func TestConnectionsOverTheCapAreClosed(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.MaxConnections = 2 })
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", r.target.Address())
		r.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	r.eventually("both admitted", func() bool { return r.target.Counters().ConnectionsAccepted == 2 })
	r.Assert(r.call("/shard", "q").status, qt.Equals, 0)
	r.Assert(r.target.Counters().ConnectionsRefused >= 1, qt.IsTrue)
	for _, conn := range conns {
		r.Assert(conn.Close(), qt.IsNil)
	}
	r.eventually("accepts connections below the cap", func() bool { return r.call("/shard", "q").status == 200 })
}

func TestDeadlineCountsWhileTheConnectionIsSetUp(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.ConnectMs = 100 })
	first := r.call("/shard", "q", "Deadline-Ms", "20")
	r.Assert(first.header.Get("Not-Started"), qt.Equals, "deadline")
	r.Assert(r.call("/shard", "q", "Deadline-Ms", "1000").status, qt.Equals, 200)
}

func TestDeadlineAfterAnotherFirstRequest(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.ConnectMs = 100 })
	r.Assert(r.call("/cancel", "", "Attempt-Id", "1").status, qt.Equals, 204)
	r.Assert(r.call("/shard", "q", "Deadline-Ms", "90").status, qt.Equals, 200)
	r.Assert(r.target.Counters().ConnectionsAccepted, qt.Equals, 1)
}

func TestDeadlineOfAFirstRequestOnAnIdleConnection(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.ConnectMs = 20 })
	conn, err := net.Dial("tcp", r.target.Address())
	r.Assert(err, qt.IsNil)
	defer func() { r.Check(conn.Close(), qt.IsNil) }()
	r.eventually("set up long ago", func() bool {
		r.target.mu.Lock()
		defer r.target.mu.Unlock()
		return len(r.target.conns) == 1 && time.Since(r.target.lastSetUpEnd) > 500*time.Millisecond
	})
	_, err = fmt.Fprint(conn, "POST /shard HTTP/1.1\r\nHost: t\r\nDeadline-Ms: 400\r\nContent-Length: 1\r\n\r\nq")
	r.Assert(err, qt.IsNil)
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.Assert(err, qt.IsNil)
	defer func() { _ = reply.Body.Close() }()
	r.Assert(reply.StatusCode, qt.Equals, 200)
}

// TestIdleConnectionKeepsTheDeadline guards against counting the idle time of a connection since its set-up towards the
// deadline of its first request.
func TestIdleConnectionKeepsTheDeadline(t *testing.T) {
	r := newTestTarget(t, func(b *Behaviour) { b.ConnectMs = 2 })
	conn, err := net.Dial("tcp", r.target.Address())
	r.Assert(err, qt.IsNil)
	defer conn.Close()
	dialled := time.Now()
	r.eventually("idle for longer than the deadline", func() bool { return time.Since(dialled) > 100*time.Millisecond })
	_, err = conn.Write([]byte("POST /shard HTTP/1.1\r\nHost: t\r\nAttempt-Id: 1\r\nShard: s\r\nSnapshot: 42\r\n" +
		"Shard-Map-Epoch: 7\r\nDeadline-Ms: 50\r\nContent-Length: 1\r\n\r\nq"))
	r.Assert(err, qt.IsNil)
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.Assert(err, qt.IsNil)
	defer reply.Body.Close()
	r.Assert(reply.StatusCode, qt.Equals, http.StatusOK)
}

func TestLostTargetComesBack(t *testing.T) {
	r := newTestTarget(t, func(*Behaviour) {})
	r.Assert(r.call("/standin/behaviour", `{"medianMs":2}`).status, qt.Equals, 204)
	r.Assert(r.target.Behaviour().MedianMs, qt.Equals, 2.0)
	r.target.UpdateBehaviour(func(b *Behaviour) { b.Lost = true })
	r.eventually("refuses", func() bool { return r.call("/shard", "q").status == 0 })
	r.target.UpdateBehaviour(func(b *Behaviour) { b.Lost = false })
	r.eventually("serves", func() bool { return r.call("/shard", "q").status == 200 })
	r.Assert(r.call("/standin/behaviour", `{"slots":-1}`).status, qt.Equals, 400)
}

func TestReplyFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults ReplyFaults
		check  func(testTarget, callReply)
	}{
		{"duplicate", ReplyFaults{Duplicate: 1}, func(r testTarget, a callReply) { r.Assert(a.status, qt.Equals, 200) }},
		{"truncate", ReplyFaults{Truncate: 1}, func(r testTarget, a callReply) { r.Assert(a.err, qt.ErrorIs, io.ErrUnexpectedEOF) }},
		{"wrong attempt", ReplyFaults{WrongAttempt: 1}, func(r testTarget, a callReply) {
			r.Assert(a.header.Get("Attempt-Id"), qt.Not(qt.Equals), "5")
		}},
		{"wrong snapshot", ReplyFaults{WrongSnapshot: 1}, func(r testTarget, a callReply) {
			r.Assert(a.header.Get("Snapshot"), qt.Equals, "43")
			r.Assert(a.body, qt.Contains, `"snapshot":43`)
		}},
		{"cut", ReplyFaults{CutBeforeReply: 1}, func(r testTarget, a callReply) { r.Assert(a.status, qt.Equals, 0) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestTarget(t, func(b *Behaviour) { b.ReplyFaults = test.faults })
			test.check(r, r.call("/shard", "q", "Attempt-Id", "5", "Shard", "s-1", "Snapshot", "42"))
			r.Assert(r.target.Log()[0].Outcome, qt.Equals, OutcomeRan)
			r.Assert(r.target.Counters().FaultyReplies, qt.Equals, 1)
		})
	}
}

func TestHealthLagsAndLies(t *testing.T) {
	r := newTestTarget(t, func(*Behaviour) {})
	r.target.UpdateBehaviour(func(b *Behaviour) { b.Draining = true; b.HealthLagMs = 60000 })
	now := time.Now()
	r.Assert(r.target.health(now).State, qt.Equals, "ready")
	r.Assert(r.target.health(now.Add(2*time.Minute)).State, qt.Equals, "draining")
	r.target.UpdateBehaviour(func(b *Behaviour) { b.HealthState, b.HealthLoad = "cold", 9 })
	r.Assert(r.target.health(now).State, qt.Equals, "cold")
	r.Assert(r.target.health(now).Load, qt.Equals, 9.0)
}

func TestBackgroundLoadTakesItsShare(t *testing.T) {
	c := qt.New(t)
	b := DefaultBehaviour()
	b.BackgroundLoad = 0.5
	target := NewTarget(Options{Name: "t", Seed: 1, Behaviour: b})
	background := backgroundTraffic{b, target.random}
	var s slot
	now := time.Unix(0, 0)
	busy, samples := 0, 20000
	for range samples {
		now = now.Add(3 * time.Millisecond)
		background.advance(&s, now)
		if now.Before(s.backgroundUntil) {
			busy++
		}
	}
	c.Assert(float64(busy)/float64(samples) > 0.45, qt.IsTrue)
	c.Assert(float64(busy)/float64(samples) < 0.55, qt.IsTrue)
}

func TestFleetFromSettings(t *testing.T) {
	c := qt.New(t)
	shard := func(name, target, address string) *cassiaschema.Shard {
		return &cassiaschema.Shard{Name: name, Targets: []*cassiaschema.Target{{Name: target, Address: address}}}
	}
	team := &cassiaschema.TeamSettings{Fronts: []*cassiaschema.Front{
		{ShardMapEpoch: 3, Shards: []*cassiaschema.Shard{shard("s-1", "t-1", "127.0.0.1:1"), shard("s-2", "t-2", "127.0.0.1:2")}},
		{Shards: []*cassiaschema.Shard{shard("s-3", "t-1", "127.0.0.1:1")}, TargetLimits: &cassiaschema.TargetLimits{MaxConnections: 100}},
	}}
	f, err := NewFleet([]*cassiaschema.TeamSettings{team}, func(string) Behaviour { return DefaultBehaviour() }, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(f.Targets(), qt.HasLen, 2)
	b := f.Target("t-1").Behaviour()
	c.Assert(b.Shards, qt.DeepEquals, []string{"s-1", "s-3"})
	c.Assert(b.MaxConnections, qt.Equals, 100)
	c.Assert(b.ShardMapEpoch, qt.Equals, uint64(3))
	content, err := json.Marshal(f.Counters())
	c.Assert(err, qt.IsNil)
	c.Assert(string(content), qt.Contains, `"connectionsRefused":0`)

	team.Fronts[1].Shards[0].Targets[0].Address = "127.0.0.1:9"
	_, err = NewFleet([]*cassiaschema.TeamSettings{team}, func(string) Behaviour { return DefaultBehaviour() }, 1)
	c.Assert(err, qt.ErrorMatches, "target t-1 has two addresses.*")
}
