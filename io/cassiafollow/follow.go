package cassiafollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafreshness"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiaboottime"
	"cassiasaddle/io/cassiaguard"
)

const (
	// MaxWatchTimeout is the longest time that the store holds a watch open while nothing changes. It bounds the delay of a
	// change when the connection has failed silently or the store answers only at the end of the watch.
	MaxWatchTimeout = 1200 * time.Millisecond
	// catchUpTimeout is the timeout of the watch that follows a list that may be stale.
	catchUpTimeout = time.Millisecond
	// coalesceDelay is the pause after a watch of the store that returned changes. Each watch that returns costs a call, so
	// further changes are collected for the next one. The pause is short compared with the seconds within which a change has
	// to be in force.
	coalesceDelay = 300 * time.Millisecond
	// storeWatchLimit is the number of changes that the store returns at most for a watch. When there are so many, it has more.
	storeWatchLimit = 500
	// storeWatchBytes is the size of the changes in a watch from which on the store leaves the rest for the next one.
	storeWatchBytes = 1 << 20
	// initialBackoff is the delay after the first failed call. It doubles with each further failure and is randomized, so
	// that VMs do not retry all at the same time.
	initialBackoff = 50 * time.Millisecond
	// maxAskedTogether is how many VMs are asked one after the other while they reply at once that they may be behind: the watchers of a zone
	// and their deputies.
	maxAskedTogether = watchersPerZone + deputiesPerZone
	// storeAvoidPeriod is how long a VM asks other VMs first after one of its watches of the store failed.
	storeAvoidPeriod = 5 * time.Second
	// maxBackoff is the longest delay between calls that fail, before randomization.
	maxBackoff = 800 * time.Millisecond
)

// ErrCompacted is returned by Source.Watch when the store no longer has the changes after the given revision.
var ErrCompacted = errors.New("the store has dropped the changes after this revision; list all keys again")

// ErrUnreadable is returned by Source.Watch when a reply came but can't be used, so that the same watch is likely to get the same
// reply.
var ErrUnreadable = errors.New("the changes after this revision can't be read; list all keys again")

// Revision counts the changes of the store: each change of a key gets the next one.
type Revision uint64

// Era counts how often the store has come back from an older copy of itself, which loses its latest changes; 0 if the store
// does not tell.
type Era uint64

// Position is a point in the history of the store. Revisions of different eras can't be compared, since the store gives them
// out again.
type Position struct {
	Era      Era
	Revision Revision
}

// VM is a running VM as it is listed in the store.
type VM struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// PeerAddress is the address at which other VMs reach this one.
	PeerAddress string
	// Cores is the CPU capacity of the VM in cores.
	Cores float64
	// Stopping is true for a VM that is about to stop and may come back. It sends nothing for others any more, but keeps its part of what
	// the VMs divide.
	Stopping bool
	// Quotas is true for a VM whose build replies to questions about quotas.
	Quotas bool
}

// Event is one write or removal of a key.
type Event struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// WatchResult is the result of a watch: the changes after a revision, or all keys.
type WatchResult struct {
	Events []Event
	// AllKeys is true when Events holds the current value of every key instead of the changes.
	AllKeys bool
	// Next is the position from which to watch next.
	Next Position
	// watcher is the VM that the result came from; it is empty when the store itself gave it.
	watcher cassiaid.VMName
	// asOf is the time as of which all changes are known with this result; 0 if it does not tell.
	asOf cassiaclock.BootTime
}

// fromStore reports whether the result came from the store itself and not from another VM.
func (r WatchResult) fromStore() bool { return r.watcher == "" }

// way names how the result came, for the log.
func (r WatchResult) way() string {
	switch {
	case !r.fromStore():
		return "watcher"
	case r.AllKeys:
		return "list"
	default:
		return "store"
	}
}

// Change is a decoded event. At most one of its fields is set; the zero value is an event to ignore. Catalog is a
// configuration in decoded form, Directory a change of a target's registration or of the evacuated zones.
type Change struct {
	Catalog   *cassiacatalog.Catalog
	Directory cassiadirectory.Message
	// Joined is a VM that was added to the list, Left the name of one that was removed from it.
	Joined *VM
	Left   cassiaid.VMName
	// Quarantine is a request that all VMs refuse; its time is zero when the entry was removed.
	Quarantine *cassiaguard.StoredQuarantine
}

// QuarantinesChanged is a change of the quarantines in the store.
type QuarantinesChanged struct {
	// All is true when Quarantines holds all that are in the store instead of those that changed.
	All         bool
	Quarantines []cassiaguard.StoredQuarantine
}

// Source is a store that holds the configuration and the registrations of targets and VMs.
type Source interface {
	// List returns all keys that matter, each as the event that wrote it, and the position at which they were read. Unless
	// fresh is set, the result may be some seconds old.
	List(ctx context.Context, fresh bool) ([]Event, Position, error)
	// Watch waits up to a timeout for changes after a position. It returns them and the position from which to watch next,
	// or ErrCompacted, also if the store is in another era by now, or ErrUnreadable.
	Watch(ctx context.Context, after Position, wait time.Duration) ([]Event, Position, error)
	// Decode decodes an event; the zero Change stands for a key or value that is not used.
	Decode(e Event) Change
}

// Sink receives the configuration, the registrations of targets and the list of VMs.
type Sink interface {
	UpdateCatalog(c *cassiacatalog.Catalog)
	UpdateDirectory(messages ...cassiadirectory.Message)
	UpdateFleet(vms []VM)
	// Confirm reports that a watch that was begun at a time succeeded, so that what was passed on is still current.
	Confirm(askedAt time.Time)
	// ConfirmKnowledge reports that everything that was in the store at a time was passed on.
	ConfirmKnowledge(asOf cassiaclock.BootTime)
	UpdateQuarantines(m QuarantinesChanged)
}

// Log writes a log line for an event; fields are alternating keys and values.
type Log func(event string, fields ...any)

// Follower keeps a Sink up to date with the contents of a Source.
type Follower struct {
	// Scope counts the changes by the way on which they came; nothing is counted when nil.
	Scope tally.Scope
	// Clock measures how old knowledge is; the operating system's if it is nil.
	Clock cassiaclock.BootClock
	// Knowledge, if set, tells when newer knowledge is needed soon, so that the store is asked itself.
	Knowledge *cassiafreshness.Guard

	source   Source
	sink     Sink
	log      Log
	journal  *Journal
	watchers *Watchers
	vms      map[cassiaid.VMName]VM
	failures int
	// unlisted is true while the list of VMs does not contain this VM.
	unlisted atomic.Bool
	// lastWatchFailure is the time of the last failed watch of the store; zero if none failed.
	lastWatchFailure time.Time
	// unreadable is the number of watches of the store in a row whose replies could not be read.
	unreadable int
	// storeRetryAt is when the store may be called again after a call has failed.
	storeRetryAt time.Time
	// era is the store's era as of the last list; listed is true after the first one.
	era    Era
	listed bool
	// firstList is closed after the first list.
	firstList chan struct{}
	refresh   chan struct{}
	ask       chan struct{}
	restored  chan struct{}
}

// NewFollower returns a follower of a source. It asks other VMs for changes where watchers names one, and adds all changes
// to the journal, from which other VMs are answered.
func NewFollower(source Source, sink Sink, watchers *Watchers, journal *Journal, log Log) *Follower {
	return &Follower{source: source, sink: sink, log: log, journal: journal, watchers: watchers,
		vms: make(map[cassiaid.VMName]VM), firstList: make(chan struct{}), refresh: make(chan struct{}, 1), ask: make(chan struct{}, 1), restored: make(chan struct{}, 1)}
}

// AwaitList waits until the first list was passed on, for a time at most or until ctx is done.
func (f *Follower) AwaitList(ctx context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-f.firstList:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Restored returns a channel that receives after the store has come back from an older copy of itself.
func (f *Follower) Restored() <-chan struct{} { return f.restored }

// Unlisted reports whether the last list of VMs did not contain this VM.
func (f *Follower) Unlisted() bool { return f.unlisted.Load() }

// Refresh requests a fresh list of all keys; it is for callers that find targets to be newer than their known registrations.
// It does not block.
func (f *Follower) Refresh() { notify(f.refresh) }

// Ask requests that the running watch is replaced with a new one, since this VM was paused and the answer of the running one may have
// been given before the end of the pause. It does not block.
func (f *Follower) Ask() { notify(f.ask) }

// notify sends to a channel unless a notice waits there already.
func notify(notices chan<- struct{}) {
	select {
	case notices <- struct{}{}:
	default:
	}
}

// Run follows the source until ctx is done and returns nil.
func (f *Follower) Run(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		start := time.Now()
		events, position, asOf, err := f.list(ctx, fresh)
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrUnreadable) {
			// A fresh list needs no watch.
			fresh = true
			continue
		}
		if err != nil {
			// Only the store gives a list, so this does not wait for as long as a watch.
			f.callFailed(ctx, "list", err, maxBackoff)
			sleep(ctx, time.Until(f.storeRetryAt))
			continue
		}
		f.callSucceeded()
		f.install(WatchResult{Events: events, AllKeys: true, Next: position, asOf: asOf}, time.Since(start))
		fresh = f.watch(ctx, position)
	}
	return nil
}

// list reads all keys. A list that may be stale is cheaper than a fresh one, so unless fresh is set it reads a stale list
// and then the changes since, before any of it is used. asOf is the time as of which the result is complete, or 0.
func (f *Follower) list(ctx context.Context, fresh bool) (events []Event, position Position, asOf cassiaclock.BootTime, err error) {
	asOf = bootTime(f.Clock)
	events, position, err = f.source.List(ctx, fresh)
	if err != nil || fresh {
		return events, position, asOf, err
	}
	asOf = bootTime(f.Clock)
	since, next, err := f.source.Watch(ctx, position, catchUpTimeout)
	if !hasAll(since) {
		asOf = 0
	}
	return append(events, since...), position.advance(next), asOf, err
}

// bootTime returns the time of a clock, or of the operating system's if it is nil.
func bootTime(clock cassiaclock.BootClock) cassiaclock.BootTime {
	if clock == nil {
		clock = cassiaboottime.Clock{}
	}
	return clock.Now()
}

// hasAll reports whether the events of a watch of the store are all that there were. The store leaves the rest for the next watch when
// there are many or when they are long; well below these limits nothing is left.
func hasAll(events []Event) bool {
	bytes := 0
	for _, e := range events {
		bytes += len(e.Value)
	}
	return len(events) < storeWatchLimit/2 && bytes < storeWatchBytes/2
}

// advance returns the later of two positions of the same era.
func (p Position) advance(next Position) Position {
	return Position{Era: p.Era, Revision: max(p.Revision, next.Revision)}
}

// install replaces everything known with the keys that a call returned after some time; a later event of a key overrides an
// earlier one.
func (f *Follower) install(all WatchResult, elapsed time.Duration) {
	keys, position := latestByKey(all.Events), all.Next
	f.noteEra(position.Era)
	f.journal.Reset(keys, position, all.fromStore())
	f.vms = make(map[cassiaid.VMName]VM)
	var catalog *cassiacatalog.Catalog
	var listed cassiadirectory.Listed
	quarantines := QuarantinesChanged{All: true}
	changes := f.decode(keys)
	f.logChanges(Position{}, all, changes, elapsed)
	for _, c := range changes {
		if c.Catalog != nil {
			catalog = c.Catalog
		}
		switch m := c.Directory.(type) {
		case cassiadirectory.Registered:
			listed.Registrations = append(listed.Registrations, m.Registration)
		case cassiadirectory.ZoneEvacuated:
			listed.EvacuatedZones = append(listed.EvacuatedZones, m.Zone)
		}
		if c.Quarantine != nil {
			quarantines.Quarantines = append(quarantines.Quarantines, *c.Quarantine)
		}
		f.applyVM(c)
	}
	f.log("storeListed", "revision", position.Revision, "registrations", len(listed.Registrations), "vms", len(f.vms))
	f.publishFleet()
	f.sink.UpdateQuarantines(quarantines)
	if catalog != nil {
		f.sink.UpdateCatalog(catalog)
	}
	f.sink.UpdateDirectory(listed)
	f.confirmKnowledge(all)
}

// confirmKnowledge reports the time as of which all changes are known, after the changes of a result were passed on.
func (f *Follower) confirmKnowledge(r WatchResult) {
	if r.asOf == 0 {
		return
	}
	f.journal.Confirm(r.asOf)
	f.sink.ConfirmKnowledge(r.asOf)
}

// noteEra handles a store that has come back from an older copy. Targets that the copy lacks register again, as after an
// outage.
func (f *Follower) noteEra(era Era) {
	previous, listed := f.era, f.listed
	if !listed {
		defer close(f.firstList)
	}
	f.era, f.listed = era, true
	if !listed || era == previous {
		return
	}
	f.log("storeRestored", "era", era, "previousEra", previous)
	f.sink.UpdateDirectory(cassiadirectory.StoreLost{}, cassiadirectory.StoreRegained{})
	notify(f.restored)
}

// latestByKey returns the last event of each key, without removed keys, ordered by key.
func latestByKey(events []Event) []Event {
	last := make(map[string]Event, len(events))
	for _, e := range events {
		last[e.Key] = e
	}
	var keys []Event
	for _, e := range last {
		if !e.Removed {
			keys = append(keys, e)
		}
	}
	slices.SortFunc(keys, func(a, b Event) int { return strings.Compare(a.Key, b.Key) })
	return keys
}

func (f *Follower) decode(events []Event) []Change {
	changes := make([]Change, len(events))
	for i, e := range events {
		changes[i] = f.source.Decode(e)
	}
	return changes
}

// watch applies changes until all keys have to be listed again. It reports whether that list must be fresh; it is false only
// when ctx is done.
func (f *Follower) watch(ctx context.Context, position Position) (fresh bool) {
	for ctx.Err() == nil {
		start := time.Now()
		result, cause, err := f.watchOnce(ctx, position)
		switch {
		case cause == cancelledToRefresh:
			return true
		case cause == cancelledToAsk && err != nil:
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.log("historyDropped", "revision", position.Revision)
			return true
		}
		if errors.Is(err, ErrUnreadable) {
			f.watchUnreadable(ctx, position, err)
			return true
		}
		if err != nil {
			f.callFailed(ctx, "watch", err, f.watchers.maxBackoff())
			continue
		}
		f.callSucceeded()
		f.unreadable = 0
		if result.AllKeys {
			position = result.Next
			f.install(result, time.Since(start))
			continue
		}
		after := position
		position = position.advance(result.Next)
		f.journal.Append(result.Events, position.Revision, result.fromStore())
		changes := f.decode(result.Events)
		f.logChanges(after, result, changes, time.Since(start))
		f.apply(changes)
		f.sink.Confirm(start)
		f.confirmKnowledge(result)
		if cause == notCancelled && result.fromStore() && len(result.Events) > 0 && len(result.Events) < storeWatchLimit {
			f.coalesce(ctx)
		}
	}
	return false
}

// coalesce waits for coalesceDelay, unless a new watch is requested.
func (f *Follower) coalesce(ctx context.Context) {
	timer := time.NewTimer(coalesceDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ask:
	case <-ctx.Done():
	}
}

// cancelCause is the reason why a watch was cancelled.
type cancelCause int

const (
	notCancelled cancelCause = iota
	cancelledToRefresh
	// cancelledToAsk means that another watch is to follow at once. The cancelled one may still have had a result.
	cancelledToAsk
)

// watchOnce runs one watch and cancels it when a refresh or a new watch is requested.
func (f *Follower) watchOnce(ctx context.Context, after Position) (result WatchResult, cause cancelCause, err error) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		result, err = f.waitForChanges(watchContext, after)
		return nil
	})
	select {
	case <-f.refresh:
		cause = cancelledToRefresh
		cancel()
	case <-f.ask:
		cause = cancelledToAsk
		cancel()
	case <-watchContext.Done():
	}
	_ = group.Wait()
	return result, cause, err
}

// waitForChanges asks a watcher of this VM's zone for changes if there is one to ask, else the store. For storeAvoidPeriod
// after a failed watch of the store, this VM asks another watcher first even if it is a watcher itself, and then other VMs. It goes on asking
// these while it backs off from the store. A VM whose knowledge is outdated asks the store at once.
func (f *Follower) waitForChanges(ctx context.Context, after Position) (WatchResult, error) {
	wait := f.watchers.WatchTimeout()
	for asked := 1; ; asked++ {
		avoidStore := !f.lastWatchFailure.IsZero() && time.Since(f.lastWatchFailure) < storeAvoidPeriod
		backoff := time.Until(f.storeRetryAt)
		if f.Knowledge.Outdated() && !avoidStore && backoff <= 0 {
			// The watchers do not confirm what this VM knows. A watch that does not wait confirms it at once.
			wait = catchUpTimeout
			break
		}
		result, reply := f.watchers.Watch(ctx, after, avoidStore)
		if reply == WatchCurrent {
			return result, nil
		}
		if reply == WatchStale && asked%maxAskedTogether != 0 {
			continue
		}
		backoff = time.Until(f.storeRetryAt)
		if backoff <= 0 || ctx.Err() != nil {
			break
		}
		sleep(ctx, min(backoff, watcherRetryDelay))
	}
	asked := bootTime(f.Clock)
	events, next, err := f.source.Watch(ctx, after, wait)
	if err != nil && !errors.Is(err, ErrCompacted) && ctx.Err() == nil {
		f.lastWatchFailure = time.Now()
	}
	if !hasAll(events) {
		asked = 0
	}
	return WatchResult{Events: events, Next: next, asOf: asked}, err
}

// logChanges logs which way changes came, how much there was and how long the call took, in which it also waited for the first
// change. A configuration among them is named, so that its way can be told from the log.
func (f *Follower) logChanges(after Position, result WatchResult, changes []Change, elapsed time.Duration) {
	if len(changes) == 0 {
		return
	}
	bytes := 0
	for _, e := range result.Events {
		bytes += len(e.Value)
	}
	line := []any{"way", result.way(), "watcher", result.watcher, "after", after.Revision, "revision", result.Next.Revision,
		"changes", len(changes), "bytes", bytes, "elapsed", elapsed}
	for _, c := range changes {
		if c.Catalog != nil {
			line = append(line, "configuration", c.Catalog.Version)
		}
	}
	f.log("changesReceived", line...)
	if f.Scope != nil {
		scope := f.Scope.Tagged(map[string]string{"way": result.way()})
		scope.Counter("changes_received").Inc(int64(len(changes)))
		scope.Counter("change_bytes_received").Inc(int64(bytes))
	}
}

// apply passes changes of the configuration, the targets and the VMs to the sink.
func (f *Follower) apply(changes []Change) {
	var directory []cassiadirectory.Message
	var quarantines QuarantinesChanged
	fleetChanged := false
	for _, c := range changes {
		if c.Catalog != nil {
			f.sink.UpdateCatalog(c.Catalog)
		}
		if c.Directory != nil {
			directory = append(directory, c.Directory)
		}
		if c.Quarantine != nil {
			quarantines.Quarantines = append(quarantines.Quarantines, *c.Quarantine)
		}
		fleetChanged = f.applyVM(c) || fleetChanged
	}
	if len(quarantines.Quarantines) > 0 {
		f.sink.UpdateQuarantines(quarantines)
	}
	if len(directory) > 0 {
		f.sink.UpdateDirectory(directory...)
	}
	if fleetChanged {
		f.publishFleet()
	}
}

// applyVM updates the list of VMs and reports whether it changed.
func (f *Follower) applyVM(c Change) bool {
	if c.Joined != nil && f.vms[c.Joined.Name] != *c.Joined {
		f.vms[c.Joined.Name] = *c.Joined
		return true
	}
	if _, known := f.vms[c.Left]; known {
		delete(f.vms, c.Left)
		return true
	}
	return false
}

// publishFleet passes the list of VMs, ordered by name, to the watchers and the sink.
func (f *Follower) publishFleet() {
	vms := make([]VM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	own, listed := f.vms[f.watchers.self.Name]
	listed = listed && !own.Stopping
	f.unlisted.Store(!listed)
	f.log("fleetChanged", "vms", len(vms), "listed", listed)
	f.watchers.UpdateFleet(slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Stopping }))
	f.sink.UpdateFleet(vms)
}

// callFailed records a failed call of the source and when the next one may follow. Only the first failure in a row is logged and
// passed to the sink.
func (f *Follower) callFailed(ctx context.Context, call string, err error, maxDelay time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.log("storeLost", "call", call, "error", err)
		f.sink.UpdateDirectory(cassiadirectory.StoreLost{})
	}
	f.journal.SetStoreLost(true)
	f.storeRetryAt = time.Now().Add(retryBackoff(f.failures, maxDelay))
	f.failures++
}

// retryBackoff returns the randomized delay before the next call after some failures in a row, at most 1.5 times maxDelay.
func retryBackoff(failures int, maxDelay time.Duration) time.Duration {
	return jitter(cassiabackoff.Delay(initialBackoff, maxDelay, failures), 0.5)
}

// jitter returns a random duration that differs from d by up to a fraction of d.
func jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration((1 + fraction*(2*rand.Float64()-1)) * float64(d))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchUnreadable records a watch of the store whose reply can't be read, and waits before the list that takes its place if those before it
// were no better.
func (f *Follower) watchUnreadable(ctx context.Context, after Position, err error) {
	f.log("watchUnreadable", "after", after.Revision, "inARow", f.unreadable+1, "error", err)
	if f.Scope != nil {
		f.Scope.Counter("watches_unreadable").Inc(1)
	}
	if f.unreadable > 0 {
		sleep(ctx, retryBackoff(f.unreadable-1, maxBackoff))
	}
	f.unreadable++
}

// callSucceeded resets the failure count and reports that the source can be reached.
func (f *Follower) callSucceeded() {
	if f.failures > 0 {
		f.log("storeRegained", "failures", f.failures)
		f.failures = 0
	}
	f.storeRetryAt = time.Time{}
	f.journal.SetStoreLost(false)
	f.sink.UpdateDirectory(cassiadirectory.StoreRegained{})
}
