package cassiaowner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiareach"
	"cassiasaddle/core/cassiaschema"
)

const (
	// maxHealthCalls bounds the concurrent health requests of one round.
	maxHealthCalls = 32
	// isolatedChecks is the number of targets that an isolated VM checks in one round.
	isolatedChecks = 3
)

// watchHealth polls the health of each owned target, so that the state of targets without traffic is known too.
func (o *Owner) watchHealth() {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		o.checkHealth()
		select {
		case <-o.context.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) checkHealth() {
	checked := o.targetsToCheck()
	o.updateReach(cassiareach.CheckBegan{Targets: len(checked)})
	keep := make(map[targetKey]bool, len(checked))
	var group errgroup.Group
	group.SetLimit(maxHealthCalls)
	for _, t := range checked {
		keep[keyOf(t)] = true
		group.Go(func() error {
			target := o.target(t)
			// Refuse the waiting attempts at once if the target is leaving, even when no other attempt arrives or ends.
			target.tick()
			target.checkHealth(o.context)
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the calls return no error
	o.dropIdle(keep)
}

// targetsToCheck returns the owned targets. An isolated VM that has given them up to others returns a few of them, which tell when
// it reaches targets again. They are few since each costs a connection beyond those that the owners share.
func (o *Owner) targetsToCheck() []OwnedTarget {
	owned := o.config.Ownership.OwnedTargets()
	if len(owned) > 0 || !o.isolated() {
		return owned
	}
	given := o.config.Ownership.TargetsIfAlive()
	rand.Shuffle(len(given), func(i, j int) { given[i], given[j] = given[j], given[i] })
	return given[:min(len(given), isolatedChecks)]
}

// updateReach passes a message to the core's view of this VM's links and reports a change.
func (o *Owner) updateReach(m cassiareach.Message) {
	o.reachMutex.Lock()
	defer o.reachMutex.Unlock()
	if !o.reach.Update(m) {
		return
	}
	isolated := o.reach.Isolated()
	o.config.Scope.Counter("isolationChanges").Inc(1)
	level.Info(o.config.Logger).Log("msg", "targets reached", "any", !isolated)
	o.config.Observer.IsolationChanged(isolated)
}

func (o *Owner) isolated() bool {
	o.reachMutex.Lock()
	defer o.reachMutex.Unlock()
	return o.reach.Isolated()
}

// dropIdle closes the idle connections to targets that are no longer owned, since other VMs now hold that share of the
// connection cap, and deletes the state of targets not used for idleTargetTimeout.
func (o *Owner) dropIdle(keep map[targetKey]bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for key, t := range o.targets {
		if keep[key] {
			continue
		}
		t.closeIdle()
		if t.idleSince(o.config.Clock.Now().Add(-idleTargetTimeout)) {
			delete(o.targets, key)
		}
	}
}

// Knowledge returns which snapshots the requested targets hold. It first asks the targets whose snapshots are unknown,
// and leaves out targets that this VM does not own.
func (o *Owner) Knowledge(ctx context.Context, request *cassiaschema.KnowledgeRequest) *cassiaschema.KnowledgeReply {
	front := cassiaid.FrontKey{Team: cassiaid.TeamName(request.Team), Front: cassiaid.FrontName(request.Front)}
	wanted := make(map[cassiaid.TargetName]bool, len(request.Targets))
	for _, name := range request.Targets {
		wanted[cassiaid.TargetName(name)] = true
	}
	var targets []*target
	for _, owned := range o.config.Ownership.OwnedTargets() {
		if owned.Front == front && wanted[owned.Name] {
			targets = append(targets, o.target(owned))
		}
	}
	reply := &cassiaschema.KnowledgeReply{Targets: make([]*cassiaschema.TargetKnowledge, len(targets))}
	var group errgroup.Group
	group.SetLimit(maxHealthCalls)
	for i, t := range targets {
		group.Go(func() error { reply.Targets[i] = t.currentKnowledge(ctx); return nil })
	}
	group.Wait() //nolint:errcheck // the calls return no error
	return reply
}
