package cassiagate

import (
	"io"
	"net/http"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/io/cassiaforward"
)

// credential identifies the team that a caller acts for; its zero value is a caller without a valid key.
type credential struct {
	team *cassiacatalog.Team
	key  cassiacatalog.KeyHash
}

// Reasons for which a caller's credential is not accepted.
const (
	missingKey = "missingKey"
	// doubledKey means that a request holds several keys, so that it is not clear for whom it acts.
	doubledKey = "doubledKey"
	unknownKey = "unknownKey"
	// outdatedKnowledge means that this VM knows too little of the store to tell whether a key is still valid.
	outdatedKnowledge = "outdatedKnowledge"
)

const (
	// outdatedRetryAfter is the Retry-After of a VM that does not know whether keys are still valid. Its answers close the connection, so
	// that callers come back at another VM, which most likely knows.
	outdatedRetryAfter = 200 * time.Millisecond
	unauthorizedText   = "not run: give the API key of a team in the header Api-Key\n"
)

// authenticate returns the credential of a caller, and the reason if the request is refused because of it. A request on an anonymous route is
// never refused; a valid key on it names the team all the same.
func (h *handler) authenticate(header http.Header, catalog *cassiacatalog.Catalog, route *cassiacatalog.Route) (who credential, refused string) {
	if catalog.Teams == nil {
		return credential{}, ""
	}
	switch keys := header.Values(h.headers.APIKey); len(keys) {
	case 0:
		refused = missingKey
	case 1:
		if who.team, who.key = catalog.Teams.Authenticate(keys[0]); who.team == nil {
			who, refused = credential{}, unknownKey
		}
	default:
		refused = doubledKey
	}
	return who, h.excuse(refused, route)
}

// excuse returns the reason for which a request is refused, given that its key was not accepted for a reason, or accepted if that is empty.
func (h *handler) excuse(refused string, route *cassiacatalog.Route) string {
	switch {
	case route.Anonymous:
		return ""
	case refused == missingKey || refused == doubledKey:
		return refused
	case !h.gate.knowledge.Usable():
		return outdatedKnowledge
	default:
		return refused
	}
}

// authenticateForwarded does the same for a request that another VM has passed to this one. Earlier versions pass the caller's key on as a
// header.
func (h *handler) authenticateForwarded(r cassiaforward.Request, catalog *cassiacatalog.Catalog, route *cassiacatalog.Route) (who credential, refused string) {
	if catalog.Teams == nil || !r.HasKey {
		return h.authenticate(r.Call.Header, catalog, route)
	}
	if team := catalog.Teams.Holder(r.Key); team != nil {
		return credential{team: team, key: r.Key}, h.excuse("", route)
	}
	return credential{}, h.excuse(unknownKey, route)
}

// nameTeam replaces whatever a caller sent by the name of its team, and removes its key.
func (h *handler) nameTeam(header http.Header, who credential) {
	header.Del(h.headers.APIKey)
	header.Del(h.headers.Team)
	if who.team != nil {
		header.Set(h.headers.Team, string(who.team.Name))
	}
}

// refuseCredential refuses a request because of its caller's credential; it has not run.
func (h *handler) refuseCredential(w http.ResponseWriter, id string, route *cassiacatalog.Route, reason string) {
	status := http.StatusUnauthorized
	if reason == outdatedKnowledge {
		status = http.StatusServiceUnavailable
		w.Header().Set("Connection", "close")
		refuseWithRetry(w, outdatedRetryAfter)
	} else {
		h.writeUnauthorized(w)
	}
	h.gate.report.refused(id, route.Name, reason, status)
}

func (h *handler) writeUnauthorized(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusUnauthorized)
	io.WriteString(w, unauthorizedText) //nolint:errcheck // the caller may have disconnected
}
