package cassiaplan

import (
	"slices"

	"cassiasaddle/core/cassiaid"
)

// outbox collects the effects of one Update so that each owner gets at most one batch and one cancellation.
type outbox struct {
	owners  []cassiaid.VMName
	sends   map[cassiaid.VMName][]Attempt
	cancels map[cassiaid.VMName][]cassiaid.AttemptID
	others  []Effect
}

// addOwner records an owner on first use; flush keeps this order.
func (o *outbox) addOwner(owner cassiaid.VMName) {
	if !slices.Contains(o.owners, owner) {
		o.owners = append(o.owners, owner)
	}
}

func (o *outbox) send(a *attempt) {
	if o.sends == nil {
		o.sends = map[cassiaid.VMName][]Attempt{}
	}
	o.addOwner(a.owner)
	o.sends[a.owner] = append(o.sends[a.owner], a.Attempt)
}

func (o *outbox) cancel(a *attempt) {
	if o.cancels == nil {
		o.cancels = map[cassiaid.VMName][]cassiaid.AttemptID{}
	}
	o.addOwner(a.owner)
	o.cancels[a.owner] = append(o.cancels[a.owner], a.ID)
}

func (o *outbox) add(e Effect) { o.others = append(o.others, e) }

func (o *outbox) count(c Counter) { o.add(Count{Counter: c}) }

// removeSend removes an attempt that is still queued and reports whether it was.
func (o *outbox) removeSend(a *attempt) bool {
	queued := o.sends[a.owner]
	for i := range queued {
		if queued[i].ID == a.ID {
			o.sends[a.owner] = append(queued[:i:i], queued[i+1:]...)
			return true
		}
	}
	return false
}

// flush empties the outbox and returns its effects: for each owner cancellations before sends, then all others. batch
// provides the fields that all batches have in common.
func (o *outbox) flush(batch SendBatch) []Effect {
	var effects []Effect
	for _, owner := range o.owners {
		if ids := o.cancels[owner]; len(ids) > 0 {
			effects = append(effects, Cancel{Owner: owner, Attempts: ids})
		}
		if attempts := o.sends[owner]; len(attempts) > 0 {
			batch.Owner = owner
			batch.Attempts = attempts
			effects = append(effects, batch)
		}
	}
	effects = append(effects, o.others...)
	*o = outbox{}
	return effects
}
