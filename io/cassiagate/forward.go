package cassiagate

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaintake"
	"cassiasaddle/io/cassiaforward"
)

// forward passes a pending request to another VM; the caller holds the mutex.
func (g *Gate) forward(e cassiagateway.Forward) {
	q := g.pending[e.Query]
	if q == nil {
		// Its caller has just left, and the gateway learns of that next.
		return
	}
	g.report.forwarded(q.call.RequestID, e.VM)
	call := q.call
	call.Deadline = e.Deadline
	g.forwardClient.Send(e.VM, e.Query, cassiaforward.Request{Call: call, Configuration: q.configuration,
		Caller: q.fingerprints.caller, Content: q.fingerprints.content, Statements: e.Statements, HasKey: q.credential.team != nil, Key: q.credential.key})
}

// UpdateForward passes what becomes of a request that another VM serves to the gateway, and what targets have stated to that VM to the pool.
func (g *Gate) UpdateForward(m cassiagateway.Message) {
	if ended, ok := m.(cassiagateway.ForwardEnded); ok {
		g.pool.ObserveStatements(ended.Statements)
	}
	g.Update(m)
}

// ForwardServer returns a function that serves requests which other VMs pass to this one.
func (g *Gate) ForwardServer(headers Headers) cassiaforward.ServeFunc {
	h := &handler{gate: g, headers: headers}
	return h.serveForwarded
}

// serveForwarded serves a request of another VM by a configuration that is not older than that VM's.
func (h *handler) serveForwarded(ctx context.Context, from cassiaid.VMName, r cassiaforward.Request) cassiaforward.Result {
	h.gate.AwaitNews(ctx)
	if ctx.Err() != nil {
		return cassiaforward.Result{Outcome: cassiagateway.ForwardDeclined}
	}
	catalog := h.gate.catalog.Load()
	if catalog == nil || catalog.Version < r.Configuration {
		h.gate.report.declined(r.Call.RequestID, from, "olderConfiguration")
		return cassiaforward.Result{Outcome: cassiagateway.ForwardDeclined}
	}
	release, ok := h.gate.PeerBodies.TryHold(len(r.Call.Body))
	if !ok {
		h.gate.report.declined(r.Call.RequestID, from, string(cassiaintake.AbortedNoMemory))
		return cassiaforward.Result{Outcome: cassiagateway.ForwardDeclined}
	}
	defer release()
	h.gate.pool.ObserveStatements(r.Statements)
	for _, s := range r.Statements {
		h.gate.Update(cassiagateway.TargetStated{TargetStatement: s})
	}
	path, _, _ := strings.Cut(r.Call.URI, "?")
	route := catalog.Match(r.Call.Host, path)
	if route == nil {
		// The configuration here is newer and does not have the route any more.
		h.gate.report.refused(r.Call.RequestID, "", "noRoute", http.StatusNotFound)
		return cassiaforward.Result{Outcome: cassiagateway.ForwardAnswered, Reply: &cassiagateway.Reply{Status: http.StatusNotFound}}
	}
	who, refused := h.authenticateForwarded(r, catalog, route)
	w := &answerBuffer{header: make(http.Header)}
	switch refused {
	case "":
	case outdatedKnowledge:
		h.gate.report.declined(r.Call.RequestID, from, outdatedKnowledge)
		return cassiaforward.Result{Outcome: cassiagateway.ForwardDeclined}
	default:
		h.refuseCredential(w, r.Call.RequestID, route, refused)
		return cassiaforward.Result{Outcome: cassiagateway.ForwardAnswered, Reply: w.reply()}
	}
	if catalog.Teams != nil {
		h.nameTeam(r.Call.Header, who)
	}
	answer, answered := h.serveRouted(ctx, w, routedRequest{call: r.Call, route: route, configuration: catalog.Version, from: from,
		fingerprints: fingerprints{caller: r.Caller, content: r.Content}, credential: who})
	result := cassiaforward.Result{Statements: answer.Statements}
	switch refusal := answer.Refusal; {
	case refusal != nil && refusal.NotRun && refusal.Reason == cassiagateway.RefusalIsolated:
		result.Outcome = cassiagateway.ForwardDeclined
	case refusal != nil && refusal.NotRun && refusal.Reason == cassiagateway.RefusalUnreachable:
		result.Outcome = cassiagateway.ForwardUnreachable
	case !answered:
		// The request was taken back or its deadline has passed.
		result.Outcome = cassiagateway.ForwardLost
	default:
		result.Outcome, result.Reply = cassiagateway.ForwardAnswered, w.reply()
	}
	return result
}

// writeForwarded sends the answer of the VM that served a request unchanged.
func (h *handler) writeForwarded(w http.ResponseWriter, reply *cassiagateway.Reply) int {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if len(header.Values("Content-Type")) == 0 {
		header["Content-Type"] = nil
	}
	h.writeBody(w, reply.Status, reply.Body)
	return reply.Status
}

// answerBuffer is an http.ResponseWriter that keeps an answer for the VM that passed the request on.
type answerBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *answerBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *answerBuffer) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter.
func (b *answerBuffer) Write(part []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(part)
}

func (b *answerBuffer) reply() *cassiagateway.Reply {
	b.header.Del("Content-Length")
	return &cassiagateway.Reply{Status: b.status, Header: b.header, Body: b.body.Bytes()}
}
