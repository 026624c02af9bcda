package cassiaserver

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiaentry"
	"cassiasaddle/io/cassiagossip"
	"cassiasaddle/io/cassiaowner"
)

// ownership implements cassiaowner.Ownership with the routing table.
type ownership struct {
	routes *cassiaentry.Routes
}

var _ cassiaowner.Ownership = ownership{}

// OwnedTargets returns the targets that this VM has to keep connections to.
func (o ownership) OwnedTargets() []cassiaowner.OwnedTarget {
	var owned []cassiaroute.OwnedTarget
	o.routes.With(func(t *cassiaroute.Table) { owned = t.OwnedTargets() })
	return ownedTargets(owned)
}

// TargetsIfAlive returns the targets that this VM would keep connections to if it were not known as leaving.
func (o ownership) TargetsIfAlive() []cassiaowner.OwnedTarget {
	var owned []cassiaroute.OwnedTarget
	o.routes.With(func(t *cassiaroute.Table) { owned = t.TargetsIfAlive() })
	return ownedTargets(owned)
}

func ownedTargets(owned []cassiaroute.OwnedTarget) []cassiaowner.OwnedTarget {
	targets := make([]cassiaowner.OwnedTarget, 0, len(owned))
	for _, target := range owned {
		targets = append(targets, ownedTarget(target))
	}
	return targets
}

func ownedTarget(o cassiaroute.OwnedTarget) cassiaowner.OwnedTarget {
	return cassiaowner.OwnedTarget{
		Front: o.Front, Name: cassiaid.TargetName(o.Target.Name), Address: o.Target.Address,
		Connections: o.Share.Connections, MaxConcurrency: o.Share.Concurrency, Owners: o.Share.Owners,
	}
}

// Accepts returns a target of a shard if this VM may serve it; ok is false otherwise.
func (o ownership) Accepts(front cassiaid.FrontKey, shard cassiaid.ShardIndex, target cassiaid.TargetName) (owned cassiaowner.OwnedTarget, ok bool) {
	o.routes.With(func(t *cassiaroute.Table) {
		var found cassiaroute.OwnedTarget
		if found, ok = t.Accepts(front, shard, target); ok {
			owned = ownedTarget(found)
		}
	})
	return owned, ok
}

// Leaving reports whether a target is known to be about to stop.
func (o ownership) Leaving(target cassiaid.TargetName) bool { return o.routes.Leaving(target) }

// observer implements cassiaowner.Observer: it updates the routing table from the owner's observations of targets, and tells the other
// VMs while this one reaches none.
type observer struct {
	routes *cassiaentry.Routes
	gossip *cassiagossip.Gossip
}

var _ cassiaowner.Observer = observer{}

// TargetSeen records the state of a target from its health endpoint.
func (o observer) TargetSeen(knowledge *cassiaschema.TargetKnowledge) {
	o.routes.Update(cassiaroute.KnowledgeSeen{Targets: []*cassiaschema.TargetKnowledge{knowledge}})
}

// IsolationChanged has the other VMs take over this VM's targets while it reaches none, and return them afterwards.
func (o observer) IsolationChanged(isolated bool) {
	o.routes.Update(cassiaroute.IsolationChanged{})
	o.gossip.SetIsolated(isolated)
}

// ResultSeen records the outcome of an attempt that this VM ran for another VM.
func (o observer) ResultSeen(front cassiaid.FrontKey, result *cassiaschema.ShardResult) {
	o.routes.Update(cassiaroute.ResultSeen{Front: front, Result: result})
}
