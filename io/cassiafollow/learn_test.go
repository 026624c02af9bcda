package cassiafollow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// fakeStore lists some VMs and nothing else, and counts the lists.
type fakeStore struct {
	vms   []VM
	mutex sync.Mutex
	lists int
}

func (f *fakeStore) List(context.Context, bool) ([]Event, Revision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lists++
	return []Event{{Key: "byStore", Revision: 5}}, 5, nil
}

func (f *fakeStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Event, Revision, error) {
	sleep(ctx, min(wait, 10*time.Millisecond))
	return nil, after, nil
}

func (f *fakeStore) VMs(context.Context) ([]VM, error) { return f.vms, nil }

func (f *fakeStore) Decode(Event) Change { return Change{} }

// noSink takes what was learned and keeps nothing.
type noSink struct{}

func (noSink) Catalog(*cassiacatalog.Catalog)       {}
func (noSink) Fleet([]VM)                           {}
func (noSink) Directory(...cassiadirectory.Message) {}

// fakeWatchers answers for watchers; the first asks fail.
type fakeWatchers struct {
	failures int
	asked    []cassiaid.VMName
}

func (f *fakeWatchers) Exchange(_ context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	f.asked = append(f.asked, vm)
	if len(f.asked) <= f.failures {
		return nil, fmt.Errorf("%s is gone", vm)
	}
	reply := &cassiaschema.StoreWatchReply{Whole: true, Revision: 7}
	if frame.GetStoreWatch().GetAfter() > 0 {
		reply = &cassiaschema.StoreWatchReply{Revision: 7}
	}
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatchReply{StoreWatchReply: reply}}, nil
}

// TestStartedVMLearnsFromWatchers: a VM of a large zone takes all keys from a watcher, from the other one if the first is gone, and
// lists the store if both are; watchers and VMs of small zones list it at once.
func TestStartedVMLearnsFromWatchers(t *testing.T) {
	for _, test := range []struct {
		name     string
		vms      int
		self     string
		failures int
		lists    int
		asked    int
	}{
		{"large zone", 5, "vm-4", 0, 0, 1},
		{"first watcher gone", 5, "vm-4", 1, 0, 2},
		{"both gone", 5, "vm-4", 2, 1, 2},
		{"watcher", 5, "vm-0", 0, 1, 0},
		{"small zone", 3, "vm-2", 0, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store, peers := &fakeStore{}, &fakeWatchers{failures: test.failures}
			for i := range test.vms {
				// The first two have most processor time.
				store.vms = append(store.vms, VM{Name: cassiaid.VMName(fmt.Sprintf("vm-%d", i)), Zone: "a", Cores: 1 / float64(1+i)})
			}
			log := func(string, ...any) {}
			watchers := NewWatchers(VM{Name: cassiaid.VMName(test.self), Zone: "a"}, log)
			watchers.Use(peers)
			ctx, cancel := context.WithCancel(context.Background())
			f := NewFollower(store, noSink{}, watchers, &Journal{}, log)
			if revision, ok := f.learnFromWatcher(ctx); ok {
				c.Check(revision, qt.Equals, Revision(7))
			} else {
				_, _, err := f.list(ctx, false)
				c.Check(err, qt.IsNil)
			}
			cancel()
			c.Check(store.lists, qt.Equals, test.lists)
			c.Check(peers.asked, qt.HasLen, test.asked)
		})
	}
}

// TestEmptyJournalIsWaitedForByWhoKnowsNothing: a VM that has just started gets all keys as soon as its watcher has them.
func TestEmptyJournalIsWaitedForByWhoKnowsNothing(t *testing.T) {
	c := qt.New(t)
	var j Journal
	timer := time.AfterFunc(20*time.Millisecond, func() { j.Reset([]Event{{Key: "a", Revision: 3}}, 3, true) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	events, to, verdict := j.Await(ctx, 0)
	c.Check(verdict, qt.Equals, JournalWhole)
	c.Check(to, qt.Equals, Revision(3))
	c.Check(events, qt.HasLen, 1)
}
