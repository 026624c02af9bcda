package cassiaguard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// fakeStore is a store that fails while down is set, and reports its entries to an announcer.
type fakeStore struct {
	mutex     sync.Mutex
	down      bool
	saves     int
	announcer *Announcer
}

func (s *fakeStore) SaveQuarantines(_ context.Context, quarantines []StoredQuarantine) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return errors.New("down")
	}
	s.saves++
	s.announcer.Stored(false, quarantines)
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *fakeStore) saveCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.saves
}

// startAnnouncer runs an announcer of a VM with one other VM, whose frames are passed to received.
func startAnnouncer(t *testing.T, store *fakeStore, received func(*cassiaschema.PeerFrame)) (*Announcer, *Guard) {
	guard := NewGuard(clockwork.NewRealClock())
	a := NewAnnouncer(AnnouncerConfig{Guard: guard, Store: store, Log: func(string, ...any) {},
		VMs: func() []cassiaid.VMName { return []cassiaid.VMName{"other"} },
		Send: func(_ context.Context, _ cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
			received(frame)
			return nil
		}})
	store.announcer = a
	runAnnouncer(t, a)
	return a, guard
}

// runAnnouncer runs an announcer until the test ends.
func runAnnouncer(t *testing.T, a *Announcer) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return a.Run(ctx) })
	t.Cleanup(func() {
		stop()
		qt.Check(t, group.Wait(), qt.IsNil)
	})
}

func eventually(t *testing.T, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition does not hold within %v", within)
		}
	}
}

// TestQuarantineReachesOtherVMsAndTheStore: a quarantine must outlive the VM that decided on it.
func TestQuarantineReachesOtherVMsAndTheStore(t *testing.T) {
	t.Parallel()
	var mutex sync.Mutex
	frames := 0
	store := &fakeStore{}
	other := NewGuard(clockwork.NewRealClock())
	a, guard := startAnnouncer(t, store, func(frame *cassiaschema.PeerFrame) {
		(&Notifier{Guard: other}).HandleFrame("vm", frame)
		mutex.Lock()
		defer mutex.Unlock()
		frames++
	})
	guard.Quarantined(1, time.Minute)
	a.Announce(cassiaquarantine.ShareQuarantine{Fingerprint: 1, Remaining: time.Minute})
	eventually(t, announceInterval/2, func() bool { return store.saveCount() == 1 && other.Remaining(1) > 0 })
	// The VM goes on to tell others, which may have been cut off before.
	eventually(t, 3*announceInterval, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return frames > 1
	})
	qt.Check(t, store.saveCount(), qt.Equals, 1)
}

// TestQuarantineReachesAVMThatWasCutOff guards against a VM that missed the first notice of a quarantine being left to chance.
func TestQuarantineReachesAVMThatWasCutOff(t *testing.T) {
	t.Parallel()
	const vms = 20
	others := make(map[cassiaid.VMName]*Guard)
	var names []cassiaid.VMName
	for i := range vms {
		name := cassiaid.VMName(fmt.Sprintf("vm-%d", i))
		names, others[name] = append(names, name), NewGuard(clockwork.NewRealClock())
	}
	var reachable atomic.Bool
	guard := NewGuard(clockwork.NewRealClock())
	store := &fakeStore{down: true}
	a := NewAnnouncer(AnnouncerConfig{Guard: guard, Store: store, Log: func(string, ...any) {},
		VMs: func() []cassiaid.VMName { return names },
		Send: func(_ context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
			if vm != names[0] && !reachable.Load() {
				return errors.New("cut off")
			}
			(&Notifier{Guard: others[vm]}).HandleFrame("vm", frame)
			return nil
		}})
	runAnnouncer(t, a)
	guard.Quarantined(1, time.Minute)
	a.Announce(cassiaquarantine.ShareQuarantine{Fingerprint: 1, Remaining: time.Minute})
	eventually(t, announceInterval/2, func() bool { return others[names[0]].Remaining(1) > 0 })
	reachable.Store(true)
	eventually(t, 2*announceInterval, func() bool {
		for _, other := range others {
			if other.Remaining(1) == 0 {
				return false
			}
		}
		return true
	})
}

// TestLearnedQuarantineIsAnnouncedSoon: the VM whose notice completes a blame may not know of the earlier losses, so that no VM
// but those that learn from it decides.
func TestLearnedQuarantineIsAnnouncedSoon(t *testing.T) {
	t.Parallel()
	store := &fakeStore{}
	other := NewGuard(clockwork.NewRealClock())
	a, guard := startAnnouncer(t, store, func(frame *cassiaschema.PeerFrame) { (&Notifier{Guard: other}).HandleFrame("vm", frame) })
	guard.Quarantined(1, time.Minute)
	a.Announce(cassiaquarantine.ShareQuarantine{Fingerprint: 1, Remaining: time.Minute, Learned: true})
	eventually(t, 3*learnedDelay, func() bool { return store.saveCount() == 1 && other.Remaining(1) > 0 })
}

// TestQuarantineIsSavedWhenTheStoreIsBack: an outage of the store must not lose a quarantine.
func TestQuarantineIsSavedWhenTheStoreIsBack(t *testing.T) {
	t.Parallel()
	store := &fakeStore{down: true}
	a, guard := startAnnouncer(t, store, func(*cassiaschema.PeerFrame) {})
	guard.Quarantined(1, time.Minute)
	a.Announce(cassiaquarantine.ShareQuarantine{Fingerprint: 1, Remaining: time.Minute})
	time.Sleep(2 * announceInterval)
	store.setDown(false)
	eventually(t, maxSaveBackoff+2*announceInterval, func() bool { return store.saveCount() == 1 })
}

// TestQuarantineOfALostVMIsSaved: a VM that decides on a quarantine may be lost before it has saved it, and the store may lose
// its entry; the VMs that know of it save it then.
func TestQuarantineOfALostVMIsSaved(t *testing.T) {
	t.Parallel()
	store := &fakeStore{}
	a, guard := startAnnouncer(t, store, func(*cassiaschema.PeerFrame) {})
	guard.Quarantined(1, time.Minute)
	eventually(t, 2*saveDelay+2*announceInterval, func() bool { return store.saveCount() == 1 })
	a.Stored(true, nil)
	eventually(t, 2*saveDelay+2*announceInterval, func() bool { return store.saveCount() == 2 })
}

// TestStoredQuarantineIsApplied: a VM that starts knows from the store which requests to refuse.
func TestStoredQuarantineIsApplied(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, guard := startAnnouncer(t, &fakeStore{}, func(*cassiaschema.PeerFrame) {})
	a.Stored(true, []StoredQuarantine{{Fingerprint: 1, Until: time.Now().Add(time.Minute)}, {Fingerprint: 2, Until: time.Now().Add(-time.Second)}})
	c.Check(guard.Remaining(1) > 50*time.Second, qt.IsTrue)
	c.Check(guard.Remaining(2), qt.Equals, time.Duration(0))
	a.Stored(false, []StoredQuarantine{{Fingerprint: 1}})
	c.Check(guard.Remaining(1) > 50*time.Second, qt.IsTrue, qt.Commentf("an entry that is gone, whatever the reason, ends no quarantine"))
}
