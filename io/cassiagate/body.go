package cassiagate

import (
	"errors"
	"net/http"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaintake"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiacaller"
)

// refuseBody answers a request whose body is too long, was aborted, or did not arrive completely. It has not run.
func (h *handler) refuseBody(w http.ResponseWriter, id string, route *cassiacatalog.Route, err error) {
	status, reason := http.StatusBadRequest, "brokenBody"
	var aborted *cassiabody.AbortedError
	switch {
	case errors.Is(err, cassiabody.ErrTooLong):
		status, reason = http.StatusRequestEntityTooLarge, "bodyTooLarge"
	case errors.As(err, &aborted) && aborted.Reason == cassiaintake.AbortedSlow:
		status, reason = http.StatusRequestTimeout, string(aborted.Reason)
	case errors.As(err, &aborted):
		status, reason = http.StatusServiceUnavailable, string(aborted.Reason)
	}
	if status == http.StatusServiceUnavailable {
		refuseWithRetry(w, cassiacaller.RetryAfter)
	} else {
		w.WriteHeader(status)
	}
	h.gate.report.refused(id, route.Name, reason, status)
}
