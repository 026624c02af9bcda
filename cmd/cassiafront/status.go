package main

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassialog"
)

// statusReport counts and logs replies whose status is malformed.
type statusReport struct {
	logger  log.Logger
	metrics *cassialog.Metrics
}

// fromTarget reports a reply of a target, to a request or to a health check.
func (r statusReport) fromTarget(target cassiaid.TargetName, err error) {
	r.report("target", "target", target, "error", err)
}

// fromStore reports a reply of the store.
func (r statusReport) fromStore(err error) { r.report("store", "error", err) }

// fromVM reports the answer of a VM to a request that was passed to it.
func (r statusReport) fromVM(vm cassiaid.VMName, status uint32) {
	r.report("vm", "vm", vm, "status", status)
}

func (r statusReport) report(source string, fields ...any) {
	r.metrics.Scope.Tagged(map[string]string{"source": source}).Counter("malformed_statuses").Inc(1)
	level.Warn(r.logger).Log(append([]any{"event", "malformedStatus", "source", source}, fields...)...)
}
