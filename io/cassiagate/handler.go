package cassiagate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaquota"
	"cassiasaddle/io/cassiacaller"
	"cassiasaddle/io/cassiapool"
)

const (
	// stoppingRetryAfter is the Retry-After of a VM that takes no more requests because it stops; other VMs serve them.
	stoppingRetryAfter = 50 * time.Millisecond
	// startupRetryAfter is the Retry-After of a VM that has no configuration yet; it takes less than that to read one.
	startupRetryAfter = 300 * time.Millisecond
	// defaultDeadline bounds a request without a deadline header on a route without a timeout.
	defaultDeadline = 10 * time.Second
)

// quarantinedText tells a caller why its request is refused.
const quarantinedText = "not run: this request crashed targets before; change it, or send it again after the time in Retry-After\n"

// Headers holds the names of the HTTP headers between callers and this VM. The embedded ones are also used between this
// VM and targets.
type Headers struct {
	cassiapool.Headers
	// PartStamps lists the stamps of the partial results that an answer was merged from. A stamp proves that a target
	// answered.
	PartStamps string
	// MissingParts is the number of shards whose results are missing from an answer.
	MissingParts string
	// APIKey holds the key of a caller, and nothing else. It is never passed on.
	APIKey string
	// Team names the team that holds the caller's key to targets.
	Team string
}

// handler serves requests of callers.
type handler struct {
	gate    *Gate
	headers Headers
	// intake receives the bodies of callers.
	intake *cassiacaller.Intake
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(h.headers.RequestID)
	h.gate.AwaitNews(r.Context())
	if r.Context().Err() != nil {
		h.gate.report.callerGone(id, "", time.Since(arrived))
		abortWithoutAnswer()
	}
	catalog := h.gate.catalog.Load()
	if catalog == nil {
		refuseWithRetry(w, startupRetryAfter)
		h.gate.report.refused(id, "", "noConfiguration", http.StatusServiceUnavailable)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := catalog.Match(r.Host, path)
	if route == nil {
		w.WriteHeader(http.StatusNotFound)
		h.gate.report.refused(id, "", "noRoute", http.StatusNotFound)
		return
	}
	who, refused := h.authenticate(r.Header, catalog, route)
	if refused != "" {
		h.refuseCredential(w, id, route, refused)
		return
	}
	beforeBody := time.Now()
	held, err := h.intake.Receive(w, r, catalog.Limits.BodyBytes)
	if err != nil {
		h.refuseBody(w, id, route, err)
		return
	}
	defer held.Release()
	body := held.Content
	call := cassiapool.Call{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h.forwardedHeader(r.Header, catalog, who),
		RequestID: id, Body: body, Deadline: h.deadline(r, route, arrived, time.Since(beforeBody))}
	_, answered := h.serveRouted(r.Context(), w,
		routedRequest{call: call, fingerprints: fingerprintsOf(r, body), route: route, configuration: catalog.Version, credential: who})
	if !answered {
		abortWithoutAnswer()
	}
}

// abortWithoutAnswer ends the handler and the connection of a caller that has left. If it returned instead, net/http would send an empty
// success, which a caller that has closed only its sending side would take for the answer.
func abortWithoutAnswer() { panic(http.ErrAbortHandler) }

// serveRouted answers a request; it returns false if the caller leaves before. The gateway's answer is empty if the request is quarantined.
func (h *handler) serveRouted(ctx context.Context, w http.ResponseWriter, r routedRequest) (cassiagateway.Answer, bool) {
	arrived, id := time.Now(), r.call.RequestID
	if remaining := h.gate.quarantineRemaining(r.fingerprints); remaining > 0 {
		h.refuseQuarantined(w, remaining)
		h.gate.report.quarantined(id, r.route.Name, r.fingerprints, remaining)
		return cassiagateway.Answer{}, true
	}
	var token cassiaquota.Token
	if r.from == "" {
		admitted := false
		if token, admitted = h.admitTeam(ctx, w, id, r.route, r.credential.team); !admitted {
			return cassiagateway.Answer{}, true
		}
	}
	answer, ok := h.gate.submit(ctx, r)
	if !ok {
		h.gate.report.callerGone(id, r.route.Name, time.Since(arrived))
		return cassiagateway.Answer{}, false
	}
	h.returnUnused(token, answer)
	status := h.writeAnswer(w, r, answer)
	h.gate.report.answered(r, answer, status)
	return answer, true
}

// forwardedHeader returns the headers that are passed on to targets, without hop-by-hop headers and those that this VM sets
// itself. Where requests need keys, the key is left out and the caller's team is named.
func (h *handler) forwardedHeader(header http.Header, catalog *cassiacatalog.Catalog, who credential) http.Header {
	forwarded := cassiapool.EndToEnd(header)
	for _, name := range []string{h.headers.RequestID, h.headers.Deadline, h.headers.ExpectInstance} {
		forwarded.Del(name)
	}
	if catalog.Teams != nil {
		h.nameTeam(forwarded, who)
	}
	return forwarded
}

// deadline returns until when the caller waits: for the milliseconds of the deadline header if they are below an hour, else for the timeout of
// the route, else for defaultDeadline. What a caller states counts from the arrival of its request. Without that, the time in which it sent the
// body does not count, so that slow callers are served as well.
func (h *handler) deadline(r *http.Request, route *cassiacatalog.Route, arrived time.Time, bodyTime time.Duration) time.Time {
	milliseconds, err := strconv.ParseFloat(r.Header.Get(h.headers.Deadline), 64)
	switch {
	case err == nil && milliseconds >= 0 && milliseconds < float64(time.Hour.Milliseconds()):
		return arrived.Add(time.Duration(milliseconds * float64(time.Millisecond)))
	case route.Timeout > 0:
		return arrived.Add(bodyTime + route.Timeout)
	default:
		return arrived.Add(bodyTime + defaultDeadline)
	}
}

// refuseQuarantined refuses a request that crashes targets; it has not run.
func (h *handler) refuseQuarantined(w http.ResponseWriter, remaining time.Duration) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	refuseWithRetry(w, remaining)
	io.WriteString(w, quarantinedText) //nolint:errcheck // the caller may have disconnected
}

// refuseWithRetry answers with status 503 and a Retry-After header in fractional seconds.
func refuseWithRetry(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeAnswer sends the answer to the caller and returns its HTTP status.
func (h *handler) writeAnswer(w http.ResponseWriter, r routedRequest, answer cassiagateway.Answer) int {
	switch {
	case answer.Reply != nil:
		return h.writeReply(w, r.call.Method, answer.Reply)
	case answer.Forwarded != nil:
		return h.writeForwarded(w, answer.Forwarded)
	case answer.Merged != nil:
		header := w.Header()
		header.Set(h.headers.PartStamps, strings.Join(answer.Merged.Stamps, ", "))
		header.Set(h.headers.MissingParts, strconv.Itoa(answer.Merged.Missing))
		header.Set("Content-Type", "application/octet-stream")
		h.writeBody(w, http.StatusOK, answer.Merged.Body)
		return http.StatusOK
	case answer.Refusal.NotRun && answer.Refusal.Reason == cassiagateway.RefusalQuarantined:
		h.refuseQuarantined(w, h.gate.quarantineRemaining(r.fingerprints))
		return http.StatusServiceUnavailable
	case answer.Refusal.NotRun && answer.Refusal.Reason == cassiagateway.RefusalUnauthorized && h.gate.knowledge.Usable():
		h.writeUnauthorized(w)
		return http.StatusUnauthorized
	case answer.Refusal.NotRun:
		refuseWithRetry(w, answer.Refusal.RetryAfter)
		return http.StatusServiceUnavailable
	case answer.Refusal.Reason == cassiagateway.RefusalTimedOut, answer.Refusal.Reason == cassiagateway.RefusalStopping:
		w.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	default:
		w.WriteHeader(http.StatusBadGateway)
		return http.StatusBadGateway
	}
}

// notRunStatuses are the statuses that promise a caller that its request was not run.
var notRunStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// writeReply sends a target's reply unchanged. A status that promises that the request was not run is replaced with 502,
// because the request may have been run. The answer to a HEAD has the length that the target names, and no body.
func (h *handler) writeReply(w http.ResponseWriter, method string, reply *cassiagateway.Reply) int {
	if notRunStatuses[reply.Status] {
		w.WriteHeader(http.StatusBadGateway)
		return http.StatusBadGateway
	}
	header := w.Header()
	for name, values := range cassiapool.EndToEnd(reply.Header) {
		header[name] = values
	}
	if len(header.Values("Content-Type")) == 0 {
		header["Content-Type"] = nil
	}
	if length := http.Header(reply.Header).Get("Content-Length"); method == http.MethodHead && length != "" {
		header.Set("Content-Length", length)
	}
	h.writeBody(w, reply.Status, reply.Body)
	return reply.Status
}

// writeBody sends a body with its length. The answer to a HEAD, which has no body, may have another length already.
func (h *handler) writeBody(w http.ResponseWriter, status int, body []byte) {
	if header := w.Header(); len(body) > 0 || header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // the caller may have disconnected
}
