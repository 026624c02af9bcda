package cassiagateway

import (
	"maps"
	"slices"
	"time"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiaid"
)

const (
	// maxForwards is the number of VMs to which one query is passed before it is refused.
	maxForwards = 6
	// forwardAcceptTimeout is how long a VM may take to accept a query. It is several round trips between availability zones.
	forwardAcceptTimeout = 200 * time.Millisecond
	// forwardAvoidPeriod is how long a VM that did not take a query gets no other one.
	forwardAvoidPeriod = 2 * time.Second
	// A VM that served a query within forwardTrustPeriod is more likely to be chosen again, by trustedWeight, and so is a VM of this VM's
	// zone, by sameZoneWeight.
	forwardTrustPeriod = 2 * time.Second
	trustedWeight      = 8
	sameZoneWeight     = 2
)

// forwarding is the state of a query that another VM serves for this VM.
type forwarding struct {
	vm       cassiaid.VMName
	sentAt   time.Time
	accepted bool
	// cancelled is true once the query was taken back from the VM.
	cancelled bool
	// refusal is the reason for which this VM would have refused the query itself; empty if it did not try.
	refusal RefusalReason
}

// acceptBy returns when the VM must have accepted the query, or the zero time if that is settled.
func (f *forwarding) acceptBy() time.Time {
	if f.accepted || f.cancelled {
		return time.Time{}
	}
	return f.sentAt.Add(forwardAcceptTimeout)
}

// forwarder chooses the VMs that serve queries for this VM.
type forwarder struct {
	avoidedUntil map[cassiaid.VMName]time.Time
	servedAt     map[cassiaid.VMName]time.Time
}

// avoid records that a VM did not take a query.
func (f *forwarder) avoid(now time.Time, vm cassiaid.VMName) {
	if f.avoidedUntil == nil {
		f.avoidedUntil = make(map[cassiaid.VMName]time.Time)
	}
	f.avoidedUntil[vm] = now.Add(forwardAvoidPeriod)
	delete(f.servedAt, vm)
}

// served records that a VM served a query.
func (f *forwarder) served(now time.Time, vm cassiaid.VMName) {
	if f.servedAt == nil {
		f.servedAt = make(map[cassiaid.VMName]time.Time)
	}
	f.servedAt[vm] = now
	delete(f.avoidedUntil, vm)
}

// keep forgets all VMs but those of a list.
func (f *forwarder) keep(vms []VM) {
	unlisted := func(name cassiaid.VMName, _ time.Time) bool {
		return !slices.ContainsFunc(vms, func(vm VM) bool { return vm.Name == name })
	}
	maps.DeleteFunc(f.avoidedUntil, unlisted)
	maps.DeleteFunc(f.servedAt, unlisted)
}

// weight returns how likely a VM is chosen compared with others; 0 if it must not be.
func (f *forwarder) weight(now time.Time, vm VM, zone cassiaid.Zone) float64 {
	if now.Before(f.avoidedUntil[vm.Name]) {
		return 0
	}
	weight := max(vm.Cores, minForwardCores)
	if served, known := f.servedAt[vm.Name]; known && now.Sub(served) < forwardTrustPeriod {
		weight *= trustedWeight
	}
	if vm.Zone == zone {
		weight *= sameZoneWeight
	}
	return weight
}

// minForwardCores is the assumed processor capacity of a VM that names none.
const minForwardCores = 0.1

// pickForwarder returns a VM in an allowed zone that may serve a query for this VM, chosen at random by weight, or an empty name if
// there is none.
func (g *Gateway) pickForwarder(now time.Time, tried []cassiaid.VMName, allowed zoneFilter) cassiaid.VMName {
	var candidates []cassiaid.VMName
	var weights []float64
	total := 0.0
	for _, vm := range g.vms {
		if vm.Name == g.settings.Name || vm.Zone == "" || slices.Contains(tried, vm.Name) || !allowed.allows(vm.Zone) {
			continue
		}
		if weight := g.forwarder.weight(now, vm, g.settings.Zone); weight > 0 {
			candidates, weights, total = append(candidates, vm.Name), append(weights, weight), total+weight
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	at := g.random.Float64() * total
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return candidates[i]
		}
	}
	return candidates[len(candidates)-1]
}

// forward passes a query that no target may have run to another VM. It returns false if none is left to try, or the query itself was
// passed on by another VM.
func (g *Gateway) forward(now time.Time, q *query, refusal RefusalReason) bool {
	if q.forOther || len(q.forwardTried) >= maxForwards || !now.Before(q.giveUpAt) || !g.mayServe(q) {
		return false
	}
	vm := g.pickForwarder(now, q.forwardTried, q.allowed)
	if vm == "" {
		return false
	}
	q.forwardTried = append(q.forwardTried, vm)
	q.forward = &forwarding{vm: vm, sentAt: now, refusal: refusal}
	q.trace.Forwards++
	q.trace.ForwardedTo = vm
	g.emit(Forward{Query: q.id, VM: vm, Deadline: minTime(q.deadline, q.giveUpAt.Add(giveUpMargin)), Statements: q.statedByTargets(now)})
	return true
}

// statedByTargets returns what targets of the query's services have stated that still holds.
func (q *query) statedByTargets(now time.Time) []TargetStatement {
	var stated []TargetStatement
	for _, s := range q.shards {
		for _, t := range s.service.targets {
			statement := cassiaavailability.Statement{Leaving: t.leaving, Pause: t.pause(now)}
			if statement != (cassiaavailability.Statement{}) {
				stated = append(stated, TargetStatement{Process: t.process(), Statement: statement})
			}
		}
	}
	return stated
}

// forwardUnsent passes a query to another VM if no target may have run it; it returns whether it did.
func (g *Gateway) forwardUnsent(now time.Time, q *query) bool {
	if q.finished || q.forward != nil || q.mayHaveRun || q.hasBegun() || !g.forward(now, q, RefusalUnreachable) {
		return false
	}
	for _, s := range q.shards {
		if s.state == shardWaiting {
			s.state = shardOpen
		}
		for _, a := range s.running {
			g.cancelAfter(a, now)
		}
	}
	return true
}

// hasBegun reports whether bytes of the query may have been sent to a target that has not answered.
func (q *query) hasBegun() bool {
	for _, s := range q.shards {
		if slices.ContainsFunc(s.running, func(a *attempt) bool { return a.begun }) {
			return true
		}
	}
	return false
}

// forwardAccepted records that the VM serves the query.
func (g *Gateway) forwardAccepted(m ForwardAccepted) {
	if q := g.queries[m.Query]; q != nil && q.forward != nil && q.forward.vm == m.VM {
		q.forward.accepted = true
	}
}

// forwardEnded passes on the answer of the VM that served the query, or goes on without that VM.
func (g *Gateway) forwardEnded(now time.Time, m ForwardEnded) {
	for _, s := range m.Statements {
		g.observeStated(now, s)
	}
	q := g.queries[m.Query]
	if q == nil || q.forward == nil || q.forward.vm != m.VM {
		return
	}
	refusal := q.forward.refusal
	q.forward = nil
	switch m.Outcome {
	case ForwardAnswered:
		g.forwarder.served(now, m.VM)
		g.release(now, q)
		g.emit(Finish{Query: q.id, Answer: Answer{Forwarded: m.Reply, Trace: q.trace}})
		return
	case ForwardUnreachable:
		g.refuse(now, q, RefusalUnreachable)
		return
	}
	g.forwarder.avoid(now, m.VM)
	switch {
	case m.Outcome == ForwardLost:
		q.mayHaveRun = true
		g.refuse(now, q, RefusalFailed)
	case g.forward(now, q, refusal):
	case refusal != "":
		g.refuse(now, q, refusal)
	default:
		g.serveLocally(now, q)
	}
}

// advanceForwarded takes a query back from a VM that did not accept it in time, and ends a query that is out of time.
func (g *Gateway) advanceForwarded(now time.Time, q *query) {
	if !now.Before(q.giveUpAt) {
		// The VM may still run it.
		q.mayHaveRun = true
		g.refuse(now, q, RefusalTimedOut)
		return
	}
	if at := q.forward.acceptBy(); !at.IsZero() && !now.Before(at) {
		g.cancelForward(q)
	}
}

// cancelForward takes a query back from the VM that it was passed to.
func (g *Gateway) cancelForward(q *query) {
	if q.forward != nil && !q.forward.cancelled {
		q.forward.cancelled = true
		g.emit(CancelForward{Query: q.id})
	}
}
