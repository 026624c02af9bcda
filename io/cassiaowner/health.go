package cassiaowner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// maxHealthCalls bounds the health calls in flight.
const maxHealthCalls = 32

// watchHealth asks each owned target for its state, so that a target without traffic is known too.
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
	owned := o.config.Rules.Owned()
	keep := make(map[targetKey]bool, len(owned))
	var group errgroup.Group
	group.SetLimit(maxHealthCalls)
	for _, t := range owned {
		keep[keyOf(t)] = true
		group.Go(func() error {
			target := o.target(t)
			// Those that wait learn at once that the target leaves, also when no other attempt comes or ends.
			target.tick()
			target.checkHealth(o.context)
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the calls return no error
	o.dropIdle(keep)
}

// dropIdle gives back the connections to targets that are no longer owned, since others now hold that share of the cap,
// and forgets those that are not used any more.
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

// Knowledge answers a request for what targets hold, asking those whose state is not known yet.
func (o *Owner) Knowledge(ctx context.Context, request *cassiaschema.KnowledgeRequest) *cassiaschema.KnowledgeReply {
	front := cassiaid.FrontKey{Team: cassiaid.TeamName(request.Team), Front: cassiaid.FrontName(request.Front)}
	wanted := make(map[cassiaid.TargetName]bool, len(request.Targets))
	for _, name := range request.Targets {
		wanted[cassiaid.TargetName(name)] = true
	}
	var targets []*target
	for _, owned := range o.config.Rules.Owned() {
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
