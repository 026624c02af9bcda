package cassiaentry

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaroute"
)

// LeavingSharer informs the other VMs that a target is leaving or has returned.
type LeavingSharer interface {
	ShareLeaving(notice cassiaroute.ShareLeaving)
}

// Routes serializes access to this VM's routing table, which its queries and its owner share.
type Routes struct {
	mutex  sync.Mutex
	table  *cassiaroute.Table
	sharer LeavingSharer
	logger log.Logger
	scope  tally.Scope
}

// NewRoutes returns the Routes of a table; sharer may be nil.
func NewRoutes(table *cassiaroute.Table, sharer LeavingSharer, logger log.Logger, scope tally.Scope) *Routes {
	return &Routes{table: table, sharer: sharer, logger: logger, scope: scope}
}

// Update applies messages to the table and performs the resulting effects.
func (r *Routes) Update(messages ...cassiaroute.Message) {
	var effects []cassiaroute.Effect
	r.With(func(t *cassiaroute.Table) {
		for _, m := range messages {
			effects = append(effects, t.Update(m)...)
		}
	})
	for _, e := range effects {
		r.perform(e)
	}
}

func (r *Routes) perform(e cassiaroute.Effect) {
	switch e := e.(type) {
	case cassiaroute.ShareLeaving:
		level.Info(r.logger).Log("msg", "target leaving changed", "target", e.Target, "leaving", e.Leaving)
		if r.sharer != nil {
			r.sharer.ShareLeaving(e)
		}
	case cassiaroute.Ejected:
		r.scope.Tagged(map[string]string{"reason": string(e.Reason)}).Counter("targetEjected").Inc(1)
		level.Info(r.logger).Log("msg", "target ejected", "target", e.Target, "reason", e.Reason, "for", e.For)
	case cassiaroute.EjectionSkipped:
		r.scope.Tagged(map[string]string{"reason": string(e.Reason)}).Counter("targetEjectKept").Inc(1)
	}
}

// With calls f with exclusive access to the table; f must not block.
func (r *Routes) With(f func(*cassiaroute.Table)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(r.table)
}

// Leaving reports whether a target is known to be leaving.
func (r *Routes) Leaving(target cassiaid.TargetName) bool {
	leaving := false
	r.With(func(t *cassiaroute.Table) { leaving = t.Leaving(target) })
	return leaving
}
