package cassiafollow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

const (
	// watchersPerZone VMs of a zone watch the store, the others ask them: the calls to the store grow with the zones. In a
	// zone of smallZone VMs or less all watch.
	watchersPerZone        = 2
	maxZoneWithoutWatchers = 3
	// delegatedWatchTimeout is how long a watch waits for news that others ask for, too, and how long these wait: short, so that a
	// watcher that is lost or cut off from the store is noticed while a change can still be in force in time.
	delegatedWatchTimeout = time.Second
	// watcherReplyMargin is how much longer than the wait a watcher may take.
	watcherReplyMargin = 400 * time.Millisecond
	// nonWatcherMaxBackoff is the longest pause between calls to a store that does not answer, of a VM that asks watchers.
	nonWatcherMaxBackoff = 2500 * time.Millisecond
	// watcherAvoidPeriod is how long a watcher that failed is left alone.
	watcherAvoidPeriod = 2 * time.Second
)

// Exchanger asks another VM; *cassiapeer.Node is one.
type Exchanger interface {
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
	// Drop gives up the connection to a VM.
	Drop(vm cassiaid.VMName)
}

// Watchers are the VMs of the own zone that watch the store.
type Watchers struct {
	self VM
	log  Log

	mutex     sync.Mutex
	exchanger Exchanger
	watchers  []cassiaid.VMName
	// delegated is true when other VMs ask the watchers.
	delegated bool
	avoided   map[cassiaid.VMName]time.Time
}

// NewWatchers returns the watchers of a VM's zone; there is none before Use and Fleet.
func NewWatchers(self VM, log Log) *Watchers {
	return &Watchers{self: self, log: log, avoided: make(map[cassiaid.VMName]time.Time)}
}

// Use asks watchers by an exchanger.
func (w *Watchers) Use(exchanger Exchanger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.exchanger = exchanger
}

// UpdateFleet tells which VMs live.
func (w *Watchers) UpdateFleet(vms []VM) {
	var zone []cassiaid.VMName
	for _, vm := range vms {
		if vm.Zone == w.self.Zone {
			zone = append(zone, vm.Name)
		}
	}
	rank := func(name cassiaid.VMName) uint64 { return xxhash.Sum64String("watch " + string(name)) }
	slices.SortFunc(zone, func(a, b cassiaid.VMName) int { return cmp.Compare(rank(a), rank(b)) })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.delegated = len(zone) > maxZoneWithoutWatchers
	w.watchers = zone
	if w.delegated {
		w.watchers = zone[:watchersPerZone]
	}
}

// maxBackoff returns the longest pause between calls to a store that does not answer. VMs that others ask try more often than
// these, who will hear from them.
func (w *Watchers) maxBackoff() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.delegated && !slices.Contains(w.watchers, w.self.Name) {
		return nonWatcherMaxBackoff
	}
	return maxBackoff
}

// WatchTimeout returns how long this VM's watches of the store should wait for news.
func (w *Watchers) WatchTimeout() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.delegated && slices.Contains(w.watchers, w.self.Name) {
		return delegatedWatchTimeout
	}
	return MaxWatchTimeout
}

// Watch waits for changes at a watcher, also at another one if this VM is one but can't watch; ok is false when this VM has
// to watch the store itself.
func (w *Watchers) Watch(ctx context.Context, after Revision, avoidStore bool) (result WatchResult, ok bool) {
	watcher, exchanger := w.pick(avoidStore)
	if watcher == "" {
		return WatchResult{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, delegatedWatchTimeout+watcherReplyMargin)
	defer cancel()
	request := &cassiaschema.StoreWatch{After: uint64(after), Wait: durationpb.New(delegatedWatchTimeout)}
	frame, err := exchanger.Exchange(ctx, watcher, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatch{StoreWatch: request}})
	reply := frame.GetStoreWatchReply()
	if err != nil {
		// A connection to an earlier process of the VM would stay silent for long.
		exchanger.Drop(watcher)
	}
	if err != nil || reply.GetLost() {
		w.avoid(watcher, err)
		return WatchResult{}, false
	}
	result = WatchResult{AllKeys: reply.GetWhole(), Revision: Revision(reply.GetRevision())}
	for _, e := range reply.GetEvents() {
		result.Events = append(result.Events, Event{Key: e.GetKey(), Value: e.GetValue(), Revision: Revision(e.GetRevision()), Removed: e.GetRemoved()})
	}
	return result, true
}

// pick returns the watcher to ask, spread over the VMs, or none if this VM is one or none can be asked.
func (w *Watchers) pick(avoidStore bool) (cassiaid.VMName, Exchanger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.exchanger == nil || !avoidStore && slices.Contains(w.watchers, w.self.Name) {
		return "", nil
	}
	now := time.Now()
	start := int(xxhash.Sum64String(string(w.self.Name)) % watchersPerZone)
	for i := range w.watchers {
		name := w.watchers[(start+i)%len(w.watchers)]
		if name != w.self.Name && now.After(w.avoided[name]) {
			return name, w.exchanger
		}
	}
	return "", nil
}

func (w *Watchers) avoid(name cassiaid.VMName, err error) {
	w.log("watcherAvoided", "watcher", name, "error", err)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoided[name] = time.Now().Add(watcherAvoidPeriod)
}

// WatchServer answers VMs that do not watch the store themselves.
type WatchServer struct {
	Journal *Journal
	group   errgroup.Group
}

// Serve answers a StoreWatch once there is news or its wait is over; it does not block.
func (s *WatchServer) Serve(request *cassiaschema.StoreWatch, reply cassiapeer.Replier) {
	s.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), min(request.GetWait().AsDuration(), MaxWatchTimeout))
		defer cancel()
		events, to, status := s.Journal.Await(ctx, Revision(request.GetAfter()))
		message := &cassiaschema.StoreWatchReply{Lost: status == JournalStale, Whole: status == JournalAllKeys, Revision: uint64(to)}
		for _, e := range events {
			message.Events = append(message.Events, &cassiaschema.StoreEvent{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Removed: e.Removed})
		}
		// Without the reply the other VM asks the store.
		_ = reply(&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatchReply{StoreWatchReply: message}})
		return nil
	})
}
