package cassiagate

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/io/cassiapool"
)

// latencyBuckets are the bounds of the request latency histogram: from 1 ms up, each 1.5 times the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)

// Report writes log lines and metrics for decisions about requests and for changes of targets, aggregators, readiness
// and configuration.
type Report struct {
	logger log.Logger
	scope  tally.Scope
}

// NewReport returns a report that writes to a logger and a metrics scope.
func NewReport(logger log.Logger, scope tally.Scope) *Report {
	return &Report{logger: logger, scope: scope}
}

func (r *Report) count(name, tag, value string) {
	r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

func (r *Report) attemptEnded(o cassiagateway.Outcome) { r.count("attempts", "outcome", string(o)) }

func (r *Report) probeEnded(e cassiagateway.Probe, result cassiapool.ProbeResult) {
	r.count("probes", "reached", strconv.FormatBool(result.Reached))
	if result.ColdMalformed {
		r.scope.Counter("cold_times_malformed").Inc(1)
	}
	if e.Once && result.Reached && !result.Reset && !result.ColdMalformed {
		// There is one each second for each target, and the gateway reports what follows from it.
		return
	}
	level.Info(r.logger).Log("event", "probed", "target", e.Target, "reached", result.Reached, "reset", result.Reset, "broken", result.Broken, "cold", result.Cold,
		"coldMalformed", result.ColdMalformed)
}

// forwarded reports that a request is passed to another VM.
func (r *Report) forwarded(id string, vm cassiaid.VMName) {
	r.scope.Counter("forwards").Inc(1)
	level.Info(r.logger).Log("event", "forwarded", "request", id, "to", vm)
}

// declined reports that a request of another VM is not served.
func (r *Report) declined(id string, from cassiaid.VMName, reason string) {
	r.count("forwards_declined", "reason", reason)
	level.Info(r.logger).Log("event", "declined", "request", id, "from", from, "reason", reason)
}

func (r *Report) viewChanged(e cassiagateway.ViewChanged) {
	r.count("beliefs", "event", string(e.Event))
	level.Info(r.logger).Log("event", e.Event, "target", e.Target, "targetZone", e.Zone, "path", e.VM, "cause", e.Cause, "unreached", e.Unreached, "rate", float64(e.Rate),
		"pause", e.Pause)
}

func (r *Report) retryShareChanged(e cassiagateway.RetryShareChanged) {
	r.scope.Gauge("retry_slack").Update(e.Slack)
	level.Info(r.logger).Log("event", "retriesPlanned", "vms", e.VMs, "slack", e.Slack)
}

func (r *Report) extraRequest(kind cassiagateway.ExtraRequestKind) {
	r.count("repeats", "kind", string(kind))
}

func (r *Report) readinessChanged(ready bool) {
	level.Info(r.logger).Log("event", "readinessChanged", "ready", ready)
}

func (r *Report) refused(id string, route cassiacatalog.RouteName, reason string, status int) {
	r.count("refusals", "reason", reason)
	level.Warn(r.logger).Log("event", "refused", "request", id, "route", route, "reason", reason, "status", status)
}

func (r *Report) quarantined(id string, route cassiacatalog.RouteName, request fingerprints, remaining time.Duration) {
	r.count("refusals", "reason", string(cassiagateway.RefusalQuarantined))
	level.Warn(r.logger).Log("event", "refused", "request", id, "route", route, "reason", cassiagateway.RefusalQuarantined,
		"status", http.StatusServiceUnavailable, "notRun", true, "retryAfter", remaining, "fingerprint", request.caller, "content", request.content)
}

// suspectStart reports whether an attempt of a request that may crash targets was started.
func (r *Report) suspectStart(run cassiaquarantine.Run, target cassiaid.TargetName, verdict cassiaquarantine.Verdict) {
	r.count("suspects", "verdict", verdict.String())
	level.Info(r.logger).Log("event", "suspect", "fingerprint", run.Fingerprint, "content", run.Content, "target", target, "verdict", verdict)
}

func (r *Report) callerGone(id string, route cassiacatalog.RouteName, elapsed time.Duration) {
	r.count("refusals", "reason", "callerGone")
	level.Warn(r.logger).Log("event", "callerGone", "request", id, "route", route, "elapsed", elapsed)
}

func (r *Report) answered(request routedRequest, a cassiagateway.Answer, status int) {
	t := a.Trace
	r.scope.Histogram("request_latency", latencyBuckets).RecordDuration(t.Elapsed)
	line := []any{"event", "answered", "request", request.call.RequestID, "route", request.route.Name, "status", status, "elapsed", t.Elapsed,
		"shards", t.Shards, "answered", t.Answered, "attempts", t.Attempts, "otherZones", t.OtherZones, "hedges", t.Hedges, "retries", t.Retries}
	if t.Skipped+t.Dropped > 0 {
		line = append(line, "skipped", t.Skipped, "dropped", t.Dropped)
	}
	if t.Late+t.Unreachable > 0 {
		line = append(line, "late", t.Late, "spare", t.Spare, "longestWait", t.LongestWait, "longestWaitService", t.LongestWaitService,
			"unreachable", t.Unreachable)
	}
	if t.Unpaid+t.Denied > 0 {
		line = append(line, "unpaid", t.Unpaid, "denied", t.Denied)
	}
	if t.LastFailure != "" {
		line = append(line, "lastFailure", t.LastFailure, "fingerprint", request.fingerprints.caller, "content", request.fingerprints.content)
	}
	if t.Unanswered > 0 {
		line = append(line, "unanswered", t.Unanswered, "unansweredTarget", t.UnansweredTarget)
	}
	if t.Forwards > 0 {
		line = append(line, "forwards", t.Forwards, "forwardedTo", t.ForwardedTo)
	}
	if request.from != "" {
		line = append(line, "from", request.from)
	}
	if a.Refusal != nil {
		r.count("refusals", "reason", string(a.Refusal.Reason))
		line[1] = "refused"
		line = append(line, "reason", a.Refusal.Reason, "notRun", a.Refusal.NotRun, "retryAfter", a.Refusal.RetryAfter)
	}
	if status >= http.StatusBadRequest {
		level.Warn(r.logger).Log(line...)
		return
	}
	level.Info(r.logger).Log(line...)
}

func (r *Report) catalogInForce(c *cassiacatalog.Catalog) {
	r.scope.Gauge("configuration_version").Update(float64(c.Version))
	level.Info(r.logger).Log("event", "configurationInForce", "version", c.Version, "routes", len(c.Routes))
}

func (r *Report) targetsChanged(targets []cassiadirectory.Target) {
	unregistered := 0
	for _, t := range targets {
		if t.Unregistered {
			unregistered++
		}
	}
	r.scope.Gauge("targets").Update(float64(len(targets)))
	level.Info(r.logger).Log("event", "targetsChanged", "targets", len(targets), "doubtful", unregistered)
}

func (r *Report) event(name string, fields ...any) {
	level.Info(r.logger).Log(append([]any{"event", name}, fields...)...)
}
