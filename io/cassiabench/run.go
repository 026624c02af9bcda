package cassiabench

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// lateWorkWait is how long a run waits after the last reply, so that executions that start late still get into the
// targets' logs.
const lateWorkWait = 500 * time.Millisecond

// Policy selects the system that serves the requests of a run.
type Policy string

// Policies that a scenario can run with.
const (
	// PolicyTuned sends requests through the VMs.
	PolicyTuned Policy = "tuned"
	// PolicyBaseline sends requests directly to the targets with a plain client.
	PolicyBaseline Policy = "baseline"
)

// sender is a function that sends one request and returns what its caller received.
type sender func(ctx context.Context, r *request) *reply

// Run runs a scenario with one policy and returns its measures and violations. The seed determines the load and the
// random faults.
func Run(ctx context.Context, s Scenario, policy Policy, seed uint64) (*Result, error) {
	s = s.withDefaultTimes()
	e, err := newEnvironment(s, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	result, err := e.run(ctx, group, s, policy, seed)
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	if closeErr := e.Close(); err == nil {
		err = closeErr
	}
	return result, err
}

// run starts the stand-ins and, unless the policy is the baseline, the VMs; then it runs the load and evaluates it.
func (e *environment) run(ctx context.Context, group *errgroup.Group, s Scenario, policy Policy, seed uint64) (*Result, error) {
	if err := e.startStandins(ctx, group); err != nil {
		return nil, err
	}
	var send sender
	if policy == PolicyBaseline {
		plain := newBaseline(e.layout, e.links, seed)
		defer plain.Close()
		send = plain.send
	} else {
		if err := e.startVMs(ctx, group, seed); err != nil {
			return nil, err
		}
		defer e.callers.Close()
		send = e.callers.send
	}
	requests := workload(s.Loads, e.layout.fronts(), s.WarmUp+s.Measured, seed)
	if err := setIdempotencyKeys(requests); err != nil {
		return nil, err
	}
	countersBefore := e.readCounters(ctx)
	cpuBefore := cpuTime()
	replies, err := e.runLoad(ctx, s, requests, send)
	if err != nil {
		return nil, err
	}
	cpuUsed := cpuTime() - cpuBefore
	wait(ctx, lateWorkWait)
	peers := e.readCounters(ctx).peerMessages(countersBefore)
	result := evaluate(s, observations{Replies: replies, Executions: e.fleet.Log(), LeavingSince: e.leavingSince})
	result.Policy, result.PeerMessagesPerQuery = policy, peers
	result.ProcessCPUMsPerQuery = roundTo(cpuUsed.Seconds()*1000/float64(len(requests)), 3)
	counters := e.fleet.Counters()
	result.TargetCrashes, result.ConnectionsRefused = counters.Crashes, counters.ConnectionsRefused
	return result, nil
}

// readCounters returns the VMs' counters, which are empty for the baseline.
func (e *environment) readCounters(ctx context.Context) vmCounters {
	if e.cluster == nil {
		return vmCounters{}
	}
	return readCounters(ctx, e.cluster.vms)
}

// runLoad sends each request at its planned time without waiting for earlier ones (an open loop), and runs the events.
// It returns once all requests have ended.
func (e *environment) runLoad(ctx context.Context, s Scenario, requests []*request, send sender) ([]*reply, error) {
	var events []event
	if s.Events != nil {
		events = s.Events(e)
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.At - b.At) })
	var mu sync.Mutex
	var replies []*reply
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	group.Go(func() error {
		for _, v := range events {
			wait(ctx, time.Until(start.Add(s.WarmUp+v.At)))
			if err := v.Do(e); err != nil {
				return err
			}
		}
		return nil
	})
	group.Go(func() error {
		for _, r := range requests {
			planned := start.Add(r.At)
			wait(ctx, time.Until(planned))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			group.Go(func() error {
				received := send(ctx, r)
				received.Latency = received.Finished.Sub(planned)
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, received)
				return nil
			})
		}
		return nil
	})
	err := group.Wait()
	return replies, err
}

// cpuTime returns the user and system CPU time that this process has used, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
