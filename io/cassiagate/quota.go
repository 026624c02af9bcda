package cassiagate

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaquota"
	"cassiasaddle/io/cassiafollow"
)

// Reasons for which requests are refused because of quotas.
const (
	reasonOverQuota    = "overQuota"
	reasonQuotaUnknown = "quotaUnknown"
)

// quotaVMs returns the VMs that may coordinate quotas: those whose builds announce it.
func quotaVMs(vms []cassiafollow.VM) []cassiaquota.VM {
	var all []cassiaquota.VM
	for _, vm := range vms {
		if vm.Quotas {
			all = append(all, cassiaquota.VM{Name: vm.Name, Zone: vm.Zone, Cores: vm.Cores})
		}
	}
	return all
}

// admitTeam decides whether a request is within the quota of its team, and answers it if it is not; it has not run then. The team is nil
// for a request without one. If the request is admitted but does not run, the token goes to returnUnused.
func (h *handler) admitTeam(ctx context.Context, w http.ResponseWriter, id string, route *cassiacatalog.Route, team *cassiacatalog.Team) (cassiaquota.Token, bool) {
	if route.Anonymous || team == nil || !team.Quota.Limited() {
		return cassiaquota.Token{}, true
	}
	arrived := time.Now()
	decided, ok := h.gate.Quota.Acquire(ctx, team)
	switch {
	case !ok:
		h.gate.report.callerGone(id, route.Name, time.Since(arrived))
		abortWithoutAnswer()
	case decided.Verdict == cassiaquota.OverQuota:
		h.refuseQuota(w, id, route, reasonOverQuota, http.StatusTooManyRequests, decided.RetryAfter)
	case decided.Verdict == cassiaquota.Unknown:
		h.refuseQuota(w, id, route, reasonQuotaUnknown, http.StatusServiceUnavailable, decided.RetryAfter)
	default:
		return decided.Token, true
	}
	return cassiaquota.Token{}, false
}

// refuseQuota refuses a request; callers may come back after a time, rounded up so that they don't come too early.
func (h *handler) refuseQuota(w http.ResponseWriter, id string, route *cassiacatalog.Route, reason string, status int, retryAfter time.Duration) {
	seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	w.WriteHeader(status)
	h.gate.report.refused(id, route.Name, reason, status)
}

// returnUnused returns the token of a request that was refused before it ran.
func (h *handler) returnUnused(token cassiaquota.Token, answer cassiagateway.Answer) {
	if answer.Refusal != nil && answer.Refusal.NotRun {
		h.gate.Quota.Return(token)
	}
}
