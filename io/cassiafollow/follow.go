package cassiafollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

const (
	// MaxWatchTimeout is how long the store holds a watch without news. A watch that is cut off silently, or hears of changes only at
	// its end, delays them by no more than that.
	MaxWatchTimeout = 1200 * time.Millisecond
	// catchUpTimeout is how long the first watch after a list that may be old waits for news.
	catchUpTimeout = time.Millisecond
	// coalesceDelay lets further changes gather after some have come, since each watch that returns costs a call. It is short
	// against the seconds within which a change has to be in force.
	coalesceDelay = 300 * time.Millisecond
	// Pauses after a failed call, doubled each time and spread, so that VMs do not return together.
	initialBackoff = 50 * time.Millisecond
	// storeAvoidPeriod is how long a VM asks others before it asks a store again that did not answer it.
	storeAvoidPeriod = 5 * time.Second
	maxBackoff       = 800 * time.Millisecond
)

// ErrCompacted tells that the store no longer has the changes after a revision.
var ErrCompacted = errors.New("the store has dropped this history; list everything again")

// Revision counts the changes of the store.
type Revision uint64

// VM is a VM that lives.
type VM struct {
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// PeerAddress is where other VMs reach it.
	PeerAddress string
	// Cores is the processor time that it has, in cores.
	Cores float64
}

// Event is one change of a key.
type Event struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// WatchResult is what came after a revision.
type WatchResult struct {
	Events []Event
	// AllKeys is true when the events are all keys instead of what has changed.
	AllKeys bool
	// Revision is the one to go on from.
	Revision Revision
	// fromStore is true when the store itself told them.
	fromStore bool
}

// Change is what an event means; the fields that are set tell of what.
type Change struct {
	Catalog   *cassiacatalog.Catalog
	Directory cassiadirectory.Message
	// Joined is a VM that is listed from now on, Left the name of one that is not.
	Joined *VM
	Left   cassiaid.VMName
}

// Source is a store that holds configuration and registrations.
type Source interface {
	// List reads all keys that matter, each as the event that wrote it; what it returns may be some seconds old, as its
	// revision tells, unless fresh is set.
	List(ctx context.Context, fresh bool) ([]Event, Revision, error)
	// Watch waits for changes after a revision and returns them with the revision to go on from.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Decode tells what an event means.
	Decode(e Event) Change
}

// Sink takes what was learned.
type Sink interface {
	UpdateCatalog(c *cassiacatalog.Catalog)
	UpdateDirectory(messages ...cassiadirectory.Message)
	UpdateFleet(vms []VM)
	// FleetConfirmed tells that the store was heard of and the last Fleet still holds.
	ConfirmFleet()
}

// Log takes an event with its fields.
type Log func(event string, fields ...any)

// Follower passes on what a source holds.
type Follower struct {
	source   Source
	sink     Sink
	log      Log
	journal  *Journal
	watchers *Watchers
	vms      map[cassiaid.VMName]VM
	failures int
	// unlisted is true while the list of VMs lacks this one.
	unlisted atomic.Bool
	// lastWatchFailure is when the store last did not answer a watch.
	lastWatchFailure time.Time
	refresh          chan struct{}
}

// NewFollower returns a follower of a source, which asks other VMs for changes where watchers name one, and keeps in the
// journal what it learns.
func NewFollower(source Source, sink Sink, watchers *Watchers, journal *Journal, log Log) *Follower {
	return &Follower{source: source, sink: sink, log: log, journal: journal, watchers: watchers,
		vms: make(map[cassiaid.VMName]VM), refresh: make(chan struct{}, 1)}
}

// Unlisted tells whether the last list of VMs lacks this one.
func (f *Follower) Unlisted() bool { return f.unlisted.Load() }

// Refresh has everything listed anew, since what is known is older than the targets; it does not block.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run follows the source until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		events, revision, err := f.list(ctx, fresh)
		if errors.Is(err, ErrCompacted) {
			fresh = true
			continue
		}
		if err != nil {
			f.callFailed(ctx, "list", err)
			continue
		}
		f.callSucceeded()
		f.install(events, revision, true)
		fresh = f.watch(ctx, revision)
	}
	return nil
}

// list reads everything. An old list is cheap, and what has changed since is read before any of it is used.
func (f *Follower) list(ctx context.Context, fresh bool) ([]Event, Revision, error) {
	events, revision, err := f.source.List(ctx, fresh)
	if err != nil || fresh {
		return events, revision, err
	}
	since, next, err := f.source.Watch(ctx, revision, catchUpTimeout)
	return append(events, since...), max(revision, next), err
}

// install replaces what is known by all keys and what has changed since they were read.
func (f *Follower) install(events []Event, revision Revision, fromStore bool) {
	keys := latestByKey(events)
	f.journal.Reset(keys, revision, fromStore)
	f.vms = make(map[cassiaid.VMName]VM)
	var catalog *cassiacatalog.Catalog
	var listed cassiadirectory.Listed
	for _, c := range f.decode(keys) {
		if c.Catalog != nil {
			catalog = c.Catalog
		}
		if m, ok := c.Directory.(cassiadirectory.Registered); ok {
			listed.Registrations = append(listed.Registrations, m.Registration)
		}
		f.applyVM(c)
	}
	f.log("storeListed", "revision", revision, "registrations", len(listed.Registrations), "vms", len(f.vms))
	f.publishFleet()
	if catalog != nil {
		f.sink.UpdateCatalog(catalog)
	}
	f.sink.UpdateDirectory(listed)
}

// latestByKey returns the last event of each key that was not removed, in the order of the keys.
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

// watch follows changes until everything has to be listed again, and tells whether only a fresh list will do.
func (f *Follower) watch(ctx context.Context, revision Revision) (fresh bool) {
	for ctx.Err() == nil {
		result, refreshed, err := f.watchOnce(ctx, revision)
		if refreshed {
			return true
		}
		if errors.Is(err, ErrCompacted) {
			f.log("historyDropped", "revision", revision)
			return true
		}
		if err != nil {
			f.callFailed(ctx, "watch", err)
			continue
		}
		f.callSucceeded()
		if result.AllKeys {
			revision = result.Revision
			f.install(result.Events, revision, result.fromStore)
			continue
		}
		revision = max(revision, result.Revision)
		f.journal.Append(result.Events, revision, result.fromStore)
		f.apply(f.decode(result.Events))
		f.sink.ConfirmFleet()
		if result.fromStore && len(result.Events) > 0 {
			sleep(ctx, coalesceDelay)
		}
	}
	return false
}

// watchOnce waits for changes until a refresh is asked for.
func (f *Follower) watchOnce(ctx context.Context, revision Revision) (result WatchResult, refreshed bool, err error) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		result, err = f.waitForChanges(watchContext, revision)
		return nil
	})
	select {
	case <-f.refresh:
		refreshed = true
		cancel()
	case <-watchContext.Done():
	}
	_ = group.Wait()
	return result, refreshed, err
}

// waitForChanges waits for changes at a VM that watches for its zone, or at the store. A VM that the store has turned away asks the
// others first for some time.
func (f *Follower) waitForChanges(ctx context.Context, revision Revision) (WatchResult, error) {
	avoidStore := !f.lastWatchFailure.IsZero() && time.Since(f.lastWatchFailure) < storeAvoidPeriod
	if result, ok := f.watchers.Watch(ctx, revision, avoidStore); ok {
		return result, nil
	}
	events, next, err := f.source.Watch(ctx, revision, f.watchers.WatchTimeout())
	if err != nil && !errors.Is(err, ErrCompacted) {
		f.lastWatchFailure = time.Now()
	}
	return WatchResult{Events: events, Revision: next, fromStore: true}, err
}

func (f *Follower) apply(changes []Change) {
	var directory []cassiadirectory.Message
	fleetChanged := false
	for _, c := range changes {
		if c.Catalog != nil {
			f.sink.UpdateCatalog(c.Catalog)
		}
		if c.Directory != nil {
			directory = append(directory, c.Directory)
		}
		fleetChanged = f.applyVM(c) || fleetChanged
	}
	if len(directory) > 0 {
		f.sink.UpdateDirectory(directory...)
	}
	if fleetChanged {
		f.publishFleet()
	}
}

// applyVM keeps the list of VMs and tells whether a change is one of it.
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

// publishFleet passes the VMs on in the order of their names.
func (f *Follower) publishFleet() {
	vms := make([]VM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	_, listed := f.vms[f.watchers.self.Name]
	f.unlisted.Store(!listed)
	f.log("fleetChanged", "vms", len(vms), "listed", listed)
	f.watchers.UpdateFleet(vms)
	f.sink.UpdateFleet(vms)
}

// callFailed notes a callFailed call and pauses.
func (f *Follower) callFailed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.log("storeLost", "call", call, "error", err)
		f.sink.UpdateDirectory(cassiadirectory.StoreLost{})
	}
	f.journal.SetStoreLost(true)
	pause := retryBackoff(f.failures, f.watchers.maxBackoff())
	f.failures++
	sleep(ctx, pause)
}

// retryBackoff returns how long to wait after some failed calls in a row.
func retryBackoff(failures int, maxDelay time.Duration) time.Duration {
	return jitter(cassiabackoff.Pause(initialBackoff, maxDelay, failures), 0.5)
}

// jitter returns a time that differs from another by up to a share of it.
func jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration((1 + fraction*(2*rand.Float64()-1)) * float64(d))
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) callSucceeded() {
	if f.failures > 0 {
		f.log("storeRegained", "failures", f.failures)
		f.failures = 0
	}
	f.journal.SetStoreLost(false)
	f.sink.UpdateDirectory(cassiadirectory.StoreBack{})
}
