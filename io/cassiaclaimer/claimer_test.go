package cassiaclaimer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

var errStore = errors.New("no reply")

// memoryStore is a Store in memory that can simulate latency, an outage and lost replies.
type memoryStore struct {
	mutex     sync.Mutex
	values    map[string][]byte
	revisions map[string]uint64
	revision  uint64
	puts      int
	conflicts int
	bytes     int
	delay     time.Duration
	down      bool
	// loseEvery n makes every nth successful put fail after its write; 0 makes none fail.
	loseEvery int
	// afterWrite, if set, is called after each write, before the reply. The mutex is held, so it must not lock the store.
	afterWrite func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{values: map[string][]byte{}, revisions: map[string]uint64{}}
}

func (m *memoryStore) withLock(change func(*memoryStore)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

// roundTrip simulates the latency of a call; it fails during an outage.
func (m *memoryStore) roundTrip(ctx context.Context) error {
	m.mutex.Lock()
	delay, down := m.delay, m.down
	m.mutex.Unlock()
	if down {
		return errStore
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *memoryStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	if err := m.roundTrip(ctx); err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.values[key], m.revisions[key], nil
}

func (m *memoryStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, bool, error) {
	if err := m.roundTrip(ctx); err != nil {
		return 0, false, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revisions[key] != ifRevision {
		m.conflicts++
		return 0, false, nil
	}
	m.puts++
	m.bytes += len(value)
	m.revision++
	m.values[key], m.revisions[key] = value, m.revision
	if m.afterWrite != nil {
		m.afterWrite()
	}
	if m.loseEvery > 0 && m.puts%m.loseEvery == 0 {
		return 0, false, errStore
	}
	return m.revision, true, nil
}

// start runs a claimer until the test ends.
func start(t testing.TB, s Store, scope tally.Scope) *Claimer {
	return startWith(t, Options{Store: s, Metrics: scope})
}

func startWith(t testing.TB, o Options) *Claimer {
	c := NewClaimer(o)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return c
}

func request(key string) ClaimRequest {
	return ClaimRequest{Team: "team", Front: "front", Key: key, BodyHash: 5, Deadline: time.Now().Add(5 * time.Second)}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func TestRepeatToAnotherVMLearnsTheAnswer(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := newMemoryStore()
	first, second := start(t, s, tally.NoopScope), start(t, s, tally.NoopScope)
	key := newKey()
	grant, refusal := first.Claim(ctx, request(key))
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(grant.MayDispatch(time.Now()), qt.IsTrue)
	c.Assert(grant.MayDispatch(time.Now().Add(time.Minute)), qt.IsFalse)
	_, refusal = second.Claim(ctx, request(key))
	c.Assert(refusal.Kind, qt.Equals, cassiaplan.RefusalOutcomeUnknown)
	grant.Finish(ctx, cassiaschema.ClaimOutcome_finished, []byte("answer"))
	c.Assert(grant.MayDispatch(time.Now()), qt.IsFalse)
	eventually(c, func() bool {
		again, refusal := second.Claim(ctx, request(key))
		if refusal != nil {
			return false
		}
		answer, ok := again.Remembered()
		return ok && string(answer) == "answer" && !again.MayDispatch(time.Now())
	})
	_, refusal = second.Claim(ctx, request("no key"))
	c.Assert(refusal.Kind, qt.Equals, cassiaplan.RefusalBadRequest)
}

func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	for until := time.Now().Add(5 * time.Second); !condition(); {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the condition was still false after 5 s"))
		time.Sleep(time.Millisecond)
	}
}

func TestStopWritesTheOutcomesThatWait(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := newMemoryStore()
	stopping := NewClaimer(Options{Store: s})
	var group errgroup.Group
	group.Go(func() error { return stopping.Run(ctx) })
	key := newKey()
	grant, refusal := stopping.Claim(context.Background(), request(key))
	c.Assert(refusal == nil, qt.IsTrue)
	grant.Finish(context.Background(), cassiaschema.ClaimOutcome_finished, []byte("answer"))
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
	_, refusal = stopping.Claim(context.Background(), request(newKey()))
	c.Assert(refusal.Kind, qt.Equals, cassiaplan.RefusalNotRun)
	again, refusal := start(t, s, tally.NoopScope).Claim(context.Background(), request(key))
	c.Assert(refusal == nil, qt.IsTrue)
	answer, _ := again.Remembered()
	c.Assert(string(answer), qt.Equals, "answer")
}

func TestClaimWhoseCallerLeavesIsGivenBack(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	first, second := start(t, s, tally.NoopScope), start(t, s, tally.NoopScope)
	ctx, leave := context.WithCancel(context.Background())
	s.withLock(func(m *memoryStore) { m.afterWrite = leave; m.loseEvery = 1 })
	key := newKey()
	_, refusal := first.Claim(ctx, request(key))
	c.Assert([]any{refusal.Kind, refusal.Ran}, qt.DeepEquals, []any{cassiaplan.RefusalNotRun, cassiaplan.RanNo})
	s.withLock(func(m *memoryStore) { m.afterWrite = nil; m.loseEvery = 0 })
	eventually(c, func() bool {
		_, refusal := second.Claim(context.Background(), request(key))
		return refusal == nil
	})
}

func TestOutageRefusesAsNotRun(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	claimer := start(t, s, tally.NoopScope)
	s.withLock(func(m *memoryStore) { m.down = true })
	key := newKey()
	r := request(key)
	_, refusal := claimer.Claim(context.Background(), r)
	c.Assert([]any{refusal.Kind, refusal.Ran}, qt.DeepEquals, []any{cassiaplan.RefusalNotRun, cassiaplan.RanNo})
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(time.Now().Before(r.Deadline), qt.IsTrue)
	s.withLock(func(m *memoryStore) { m.down = false })
	eventually(c, func() bool {
		_, refusal := claimer.Claim(context.Background(), request(key))
		return refusal == nil
	})
}

// TestManyVMsAndSendsWinEachKeyOnce sends each key through every VM while the store loses replies. It guards against
// two VMs that both get the claim of one key.
func TestManyVMsAndSendsWinEachKeyOnce(t *testing.T) {
	c := qt.New(t)
	s := newMemoryStore()
	s.loseEvery = 3
	var claimers []*Claimer
	for range 4 {
		claimers = append(claimers, start(t, s, tally.NoopScope))
	}
	const keys = 50
	var mutex sync.Mutex
	won := map[string]int{}
	var group errgroup.Group
	for range keys {
		key := newKey()
		for _, claimer := range claimers {
			group.Go(func() error {
				_, refusal := claimer.Claim(context.Background(), request(key))
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case refusal == nil:
					won[key]++
				case refusal.Ran != cassiaplan.RanUnknown:
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
