package cassiafollow

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// watchersPerZone is how many VMs of a zone watch the store; the others ask these, so that the calls to the store grow
	// with the number of zones and not of VMs.
	watchersPerZone = 2
	// maxZoneWithoutDelegation is the number of VMs up to which all VMs of a zone watch the store.
	maxZoneWithoutDelegation = 3
	// delegatedWatchTimeout is the timeout of a watch at a watcher, and of a watcher's own watch of the store. It is short
	// so that a watcher that is lost or cut off from the store is noticed while a change can still be in force in time.
	delegatedWatchTimeout = time.Second
	// watcherReplyMargin is how long after the timeout of the watch a watcher may still reply.
	watcherReplyMargin = 400 * time.Millisecond
	// nonWatcherMaxBackoff replaces maxBackoff for VMs that ask watchers.
	nonWatcherMaxBackoff = 2500 * time.Millisecond
	// watcherAvoidPeriod is how long a watcher is not asked after it failed, staleWatcherAvoidPeriod after it said that it may be behind
	// the store. The latter is shorter, since such a watcher replies at once.
	watcherAvoidPeriod      = 2 * time.Second
	staleWatcherAvoidPeriod = 700 * time.Millisecond
	// deputiesPerZone is how many VMs of a zone watch the store for the others while its watchers may be behind. Otherwise all VMs of the
	// zone that the store answers would call it.
	deputiesPerZone = 2
	// watcherRetryDelay is how often a VM that backs off from the store looks for a watcher to ask.
	watcherRetryDelay = 300 * time.Millisecond
)

// Exchanger sends a request to another VM and returns its reply; *cassiapeer.Node implements it.
type Exchanger interface {
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
	// DropSilent closes the connection to a VM if nothing has arrived on it since a time; the next exchange opens a new one.
	DropSilent(vm cassiaid.VMName, since time.Time)
}

// Watchers selects the VMs of this VM's zone that watch the store and asks them for changes. It is safe for concurrent use.
type Watchers struct {
	// Clock measures how old knowledge is that comes from other VMs; the operating system's if it is nil.
	Clock cassiaclock.BootClock

	self VM
	log  Log

	mutex     sync.Mutex
	exchanger Exchanger
	watchers  []cassiaid.VMName
	// delegated is true when only the watchers watch the store and the other VMs of the zone ask them.
	delegated bool
	avoided   map[cassiaid.VMName]time.Time
	// deputies holds the VMs of this zone that come after the watchers.
	deputies []cassiaid.VMName
	// substitutes holds the VMs to ask while the store turns this VM away and no watcher of its zone is current: VMs of the own zone and
	// watchers of other zones in turn, since one of the two groups may be out of reach. nextSubstitute is the position of the next one.
	substitutes    []cassiaid.VMName
	nextSubstitute int
	// informant is the substitute that replied last; it is empty once that has failed.
	informant cassiaid.VMName
	// silent holds the VMs that left the last watch without a reply.
	silent map[cassiaid.VMName]bool
}

// NewWatchers returns the watchers of a VM's zone; there are none before SetExchanger and UpdateFleet are called.
func NewWatchers(self VM, log Log) *Watchers {
	return &Watchers{self: self, log: log, avoided: make(map[cassiaid.VMName]time.Time), silent: make(map[cassiaid.VMName]bool)}
}

// SetExchanger sets the exchanger through which watchers are asked.
func (w *Watchers) SetExchanger(exchanger Exchanger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.exchanger = exchanger
}

// UpdateFleet selects the watchers among the running VMs; all VMs that have the same list select the same ones.
func (w *Watchers) UpdateFleet(vms []VM) {
	zones := make(map[cassiaid.Zone][]cassiaid.VMName)
	for _, vm := range vms {
		zones[vm.Zone] = append(zones[vm.Zone], vm.Name)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	own := ranked(zones[w.self.Zone])
	w.watchers, w.delegated = watchersOf(own)
	w.deputies = own[len(w.watchers):min(len(own), len(w.watchers)+deputiesPerZone)]
	var others []cassiaid.VMName
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if zone != w.self.Zone {
			watchers, _ := watchersOf(ranked(zones[zone]))
			others = append(others, watchers...)
		}
	}
	w.substitutes = alternated(rotated(own[len(w.watchers):], w.self.Name), rotated(others, w.self.Name))
	w.substitutes = slices.DeleteFunc(w.substitutes, func(name cassiaid.VMName) bool { return name == w.self.Name })
	w.nextSubstitute = 0
	if !slices.Contains(w.substitutes, w.informant) {
		w.informant = ""
	}
	maps.DeleteFunc(w.silent, func(name cassiaid.VMName, _ bool) bool { return !slices.Contains(w.watchers, name) })
}

// ranked orders the VMs of a zone by how soon they become watchers.
func ranked(zone []cassiaid.VMName) []cassiaid.VMName {
	rank := func(name cassiaid.VMName) uint64 { return xxhash.Sum64String("watch " + string(name)) }
	slices.SortFunc(zone, func(a, b cassiaid.VMName) int { return cmp.Compare(rank(a), rank(b)) })
	return zone
}

// watchersOf returns the watchers among the ranked VMs of a zone, and whether the others ask them.
func watchersOf(zone []cassiaid.VMName) (watchers []cassiaid.VMName, delegated bool) {
	if len(zone) <= maxZoneWithoutDelegation {
		return zone, false
	}
	return zone[:watchersPerZone], true
}

// rotated returns VMs beginning at one that depends on a name, which spreads the VMs that ask.
func rotated(vms []cassiaid.VMName, by cassiaid.VMName) []cassiaid.VMName {
	if len(vms) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(by)) % uint64(len(vms)))
	return slices.Concat(vms[first:], vms[:first])
}

// alternated merges two lists by taking from each in turn.
func alternated(a, b []cassiaid.VMName) []cassiaid.VMName {
	var merged []cassiaid.VMName
	for len(a) > 0 && len(b) > 0 {
		merged = append(merged, a[0], b[0])
		a, b = a[1:], b[1:]
	}
	return slices.Concat(merged, a, b)
}

// maxBackoff returns the longest backoff between calls to a store that fails. Watchers retry more often than the VMs that
// ask them, since those get the changes from the watchers, unless none of these replies.
func (w *Watchers) maxBackoff() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	replies := slices.ContainsFunc(w.watchers, func(name cassiaid.VMName) bool { return !w.silent[name] })
	if w.delegated && replies && !slices.Contains(w.watchers, w.self.Name) {
		return nonWatcherMaxBackoff
	}
	return maxBackoff
}

// WatchTimeout returns the timeout of this VM's own watches of the store.
func (w *Watchers) WatchTimeout() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.delegated && slices.Contains(w.watchers, w.self.Name) {
		return delegatedWatchTimeout
	}
	return MaxWatchTimeout
}

// Watch waits for changes at a watcher. Unless the reply is WatchCurrent, this VM has to ask another VM or watch the store itself: it is a
// watcher, there is no watcher to ask, or the one that was asked failed or is behind the store. With avoidStore, a VM that is itself a
// watcher asks another watcher instead of the store, and any VM asks a substitute when no watcher can be asked. A VM that may be out of
// reach is asked to reply at once.
func (w *Watchers) Watch(ctx context.Context, after Position, avoidStore bool) (result WatchResult, reply WatchReply) {
	watcher, exchanger := w.pick(avoidStore)
	if watcher == "" {
		return WatchResult{}, WatchNone
	}
	start, asked := time.Now(), bootTime(w.Clock)
	caller := ctx
	wait := delegatedWatchTimeout
	if w.isUncertain(watcher) {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watcherReplyMargin)
	defer cancel()
	request := &cassiaschema.StoreWatch{After: uint64(after.Revision), Era: uint64(after.Era), Wait: durationpb.New(wait),
		Paged: true}
	frame, err := exchanger.Exchange(ctx, watcher, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatch{StoreWatch: request}})
	message := frame.GetStoreWatchReply()
	var events []Event
	if err == nil {
		events, err = decodeEvents(message)
	}
	if caller.Err() != nil {
		return WatchResult{}, WatchNone
	}
	w.setSilent(watcher, err != nil)
	if err != nil {
		// A silent connection may lead to an earlier process of that VM and would stay silent for long.
		exchanger.DropSilent(watcher, start)
	}
	w.setInformant(watcher, err == nil && !message.GetLost())
	if err != nil || message.GetLost() {
		w.avoid(watcher, after, time.Since(start), err)
		if err != nil {
			return WatchResult{}, WatchNone
		}
		return WatchResult{}, WatchStale
	}
	result = WatchResult{watcher: watcher, AllKeys: message.GetWhole(), Events: events,
		Next: Position{Era: Era(message.GetEra()), Revision: Revision(message.GetRevision())}}
	if age := message.GetKnowledgeAge(); age != nil {
		result.asOf = asked.Add(-age.AsDuration())
	}
	return result, WatchCurrent
}

// WatchReply is what became of a watch at another VM.
type WatchReply int

// Values of WatchReply.
const (
	// WatchNone means that no VM was asked, or that the one that was asked did not reply.
	WatchNone WatchReply = iota
	// WatchStale means that the VM may be behind the store, as it replied at once.
	WatchStale
	// WatchCurrent means that there is a result.
	WatchCurrent
)

// pick returns the VM to ask, or none if this VM is a watcher and may ask the store, or if no VM can be asked. The first choice depends on
// the VM's name, which spreads the VMs over the watchers. Deputies take the place of watchers that can't be asked.
func (w *Watchers) pick(avoidStore bool) (cassiaid.VMName, Exchanger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.exchanger == nil || !avoidStore && slices.Contains(w.watchers, w.self.Name) {
		return "", nil
	}
	now := time.Now()
	if avoidStore && w.informant != "" && now.After(w.avoided[w.informant]) {
		return w.informant, w.exchanger
	}
	start := int(xxhash.Sum64String(string(w.self.Name)) % watchersPerZone)
	for i := range w.watchers {
		name := w.watchers[(start+i)%len(w.watchers)]
		if name != w.self.Name && now.After(w.avoided[name]) {
			return name, w.exchanger
		}
	}
	if !avoidStore {
		if slices.Contains(w.deputies, w.self.Name) {
			return "", nil
		}
		for _, name := range w.deputies {
			if now.After(w.avoided[name]) {
				return name, w.exchanger
			}
		}
		return "", nil
	}
	for range w.substitutes {
		name := w.substitutes[w.nextSubstitute%len(w.substitutes)]
		w.nextSubstitute++
		if now.After(w.avoided[name]) {
			return name, w.exchanger
		}
	}
	return "", nil
}

// setInformant records whether a VM replied with what the store holds, so that it is asked again if it is a substitute.
func (w *Watchers) setInformant(name cassiaid.VMName, current bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case current && slices.Contains(w.substitutes, name):
		w.informant = name
	case !current && w.informant == name:
		w.informant = ""
	}
}

func (w *Watchers) setSilent(name cassiaid.VMName, silent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.silent[name] = silent
}

// isUncertain reports whether a VM may be out of reach: it left the last watch without a reply, or it is a substitute that has not replied
// yet.
func (w *Watchers) isUncertain(name cassiaid.VMName) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent[name] || name != w.informant && slices.Contains(w.substitutes, name)
}

// avoid records that a watch after a position failed at a watcher, so that the watcher is not asked for some time. The error
// is nil if the watcher said that it may be behind the store.
func (w *Watchers) avoid(name cassiaid.VMName, after Position, elapsed time.Duration, err error) {
	w.log("watcherAvoided", "watcher", name, "after", after.Revision, "elapsed", elapsed, "error", err)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	period := watcherAvoidPeriod
	if err == nil && !slices.Contains(w.substitutes, name) {
		period = staleWatcherAvoidPeriod
	}
	w.avoided[name] = time.Now().Add(period)
}
