package cassiaclaimer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// mesh connects the claimers of several simulated VMs in one process.
type mesh struct {
	mutex    sync.Mutex
	claimers map[cassiaid.VMName]*Claimer
	delay    time.Duration
	calls    atomic.Int64
	// loseEvery n drops the reply to every nth call, after the call was served; 0 drops none.
	loseEvery int64
}

// meshPeer implements Peers for one VM of the mesh.
type meshPeer struct {
	mesh *mesh
	self cassiaid.VMName
}

func (l meshPeer) Writer(bucket cassiaclaim.BucketID) cassiaid.VMName {
	l.mesh.mutex.Lock()
	defer l.mesh.mutex.Unlock()
	var names []cassiaid.VMName
	for name := range l.mesh.claimers {
		names = append(names, name)
	}
	if writer := cassiaclaim.WriterOf(bucket, names); writer != l.self {
		return writer
	}
	return ""
}

func (l meshPeer) Call(ctx context.Context, vm cassiaid.VMName, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error) {
	l.mesh.mutex.Lock()
	peer, delay := l.mesh.claimers[vm], l.mesh.delay
	l.mesh.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n := l.mesh.calls.Add(1)
	reply := peer.Serve(context.WithoutCancel(ctx), call)
	if l.mesh.loseEvery > 0 && n%l.mesh.loseEvery == 0 {
		return nil, errStore
	}
	return reply, ctx.Err()
}

// startMesh runs claimers that share the writing of buckets: each bucket has one writer.
func startMesh(t testing.TB, s Store, vms int, delay time.Duration, loseEvery int64) []*Claimer {
	m := &mesh{claimers: map[cassiaid.VMName]*Claimer{}, delay: delay, loseEvery: loseEvery}
	var all []*Claimer
	for i := range vms {
		name := cassiaid.VMName(fmt.Sprint("vm-", i))
		c := startWith(t, Options{Store: s, Peers: meshPeer{mesh: m, self: name}})
		m.mutex.Lock()
		m.claimers[name] = c
		m.mutex.Unlock()
		all = append(all, c)
	}
	return all
}

// TestWritersWithLostRepliesWinEachKeyOnce sends each key through every VM while replies of the writers and of the
// store are lost. It guards against two VMs that both get the claim of one key.
func TestWritersWithLostRepliesWinEachKeyOnce(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	s.loseEvery = 4
	claimers := startMesh(t, s, 4, 0, 3)
	const keys = 50
	var mutex sync.Mutex
	won := map[string]int{}
	var group errgroup.Group
	for range keys {
		key := newKey()
		for _, claimer := range claimers {
			group.Go(func() error {
				grant, refusal := claimer.Claim(context.Background(), request(key))
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case refusal == nil && grant.MayDispatch(time.Now()):
					won[key]++
				case refusal != nil && refusal.Ran != cassiaplan.RanUnknown:
					return refusal
				}
				return nil
			})
		}
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(won, qt.HasLen, keys)
	for key, n := range won {
		c.Assert(n, qt.Equals, 1, qt.Commentf(key))
	}
}

func TestOneWriterWritesWithoutConflicts(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	claimers := startMesh(t, s, 4, 0, 0)
	key := newKey()
	var group errgroup.Group
	for i := range 200 {
		group.Go(func() error {
			own := newKey()
			if i == 0 {
				own = key
			}
			grant, refusal := claimers[i%len(claimers)].Claim(context.Background(), request(own))
			if refusal != nil {
				return refusal
			}
			grant.Finish(context.Background(), cassiaschema.ClaimOutcome_finished, []byte("answer"))
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	s.withLock(func(m *memoryStore) { c.Assert(m.conflicts, qt.Equals, 0) })
	eventually(c, func() bool {
		again, refusal := claimers[3].Claim(context.Background(), request(key))
		if refusal != nil {
			return false
		}
		answer, _ := again.Remembered()
		return string(answer) == "answer"
	})
}

// TestStaleCallWinsNothing checks that a call that arrives after its sender stopped waiting writes no claim, which
// would block the sender's own claim.
func TestStaleCallWinsNothing(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	writer := start(t, s, tally.NoopScope)
	key := newKey()
	parsed, err := cassiaclaim.ParseKey(cassiaid.FrontKey{Team: "team", Front: "front"}, key)
	c.Assert(err, qt.IsNil)
	clockReply := writer.Serve(context.Background(), &cassiaschema.ClaimCall{})
	reply := writer.Serve(context.Background(), &cassiaschema.ClaimCall{Key: parsed.Scoped, KeyUnixMillis: parsed.Time.UnixMilli(),
		BodyHash: 5, Nonce: 7, Remaining: durationpb.New(time.Second), ExpiresWriterMillis: clockReply.WriterUnixMillis - 1})
	c.Assert(reply.Granted, qt.IsFalse)
	_, refusal := writer.Claim(context.Background(), request(key))
	c.Assert(refusal == nil, qt.IsTrue)
}

func TestWriterThatCannotWriteIsPassedOver(t *testing.T) {
	c := qt.New(t)
	downStore, upStore := newMemoryStore(), newMemoryStore()
	downStore.down = true
	m := &mesh{claimers: map[cassiaid.VMName]*Claimer{}}
	m.claimers["vm-cut"] = startWith(t, Options{Store: downStore})
	claimer := startWith(t, Options{Store: upStore, Peers: meshPeer{mesh: m, self: "vm-whole"}})
	grant, refusal := claimer.Claim(context.Background(), request(newKey()))
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(grant.MayDispatch(time.Now()), qt.IsTrue)
}
