package cassiaforward

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// Request is a caller's request that one VM passes to another.
type Request struct {
	Method string
	// URI is the path and query string as the caller sent them.
	URI       string
	Host      string
	Header    http.Header
	RequestID string
	Body      []byte
	Deadline  time.Time
	// Configuration is the version by which the first VM would serve the request.
	Configuration cassiacatalog.Version
	// Caller and Content identify the request with and without its caller's address.
	Caller, Content cassiaid.Fingerprint
	// Leaving holds the targets that could serve the request and have told the first VM that they leave.
	Leaving []cassiaavailability.Process
}

// encode returns the frame that carries the request; now is the base of the remaining time.
func (r *Request) encode(id uint64, now time.Time) *cassiaschema.PeerFrame {
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ForwardedRequest{ForwardedRequest: &cassiaschema.ForwardedRequest{
		ForwardId: id, Method: r.Method, Uri: r.URI, Host: r.Host, Headers: cassiapeer.EncodeHeader(r.Header), RequestId: r.RequestID, Body: r.Body,
		Remaining: durationpb.New(r.Deadline.Sub(now)), Configuration: uint64(r.Configuration), CallerFingerprint: uint64(r.Caller),
		ContentFingerprint: uint64(r.Content), Leaving: encodeProcesses(r.Leaving)}}}
}

func decodeRequest(m *cassiaschema.ForwardedRequest, now time.Time) Request {
	return Request{Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Header: cassiapeer.DecodeHeader(m.GetHeaders()), RequestID: m.GetRequestId(),
		Body: m.GetBody(), Deadline: now.Add(m.GetRemaining().AsDuration()), Configuration: cassiacatalog.Version(m.GetConfiguration()),
		Caller: cassiaid.Fingerprint(m.GetCallerFingerprint()), Content: cassiaid.Fingerprint(m.GetContentFingerprint()),
		Leaving: decodeProcesses(m.GetLeaving())}
}

// Result is how a VM served a request of another one.
type Result struct {
	Outcome cassiagateway.ForwardOutcome
	// Reply is the answer for the caller if Outcome is ForwardAnswered.
	Reply *cassiagateway.Reply
}

// encode returns the frame that carries the result.
func (r Result) encode(id uint64) *cassiaschema.PeerFrame {
	m := &cassiaschema.ForwardedReply{ForwardId: id}
	switch r.Outcome {
	case cassiagateway.ForwardDeclined:
		m.State = cassiaschema.ForwardedReply_STATE_DECLINED
	case cassiagateway.ForwardUnreachable:
		m.State = cassiaschema.ForwardedReply_STATE_UNREACHABLE
	case cassiagateway.ForwardAnswered:
		m.State = cassiaschema.ForwardedReply_STATE_ANSWERED
		m.Status, m.Headers, m.Body = uint32(r.Reply.Status), cassiapeer.EncodeHeader(r.Reply.Header), r.Reply.Body
		if r.Reply.Leaving.Target != "" {
			m.Leaving = encodeProcess(r.Reply.Leaving)
		}
	}
	return replyFrame(m)
}

func replyFrame(m *cassiaschema.ForwardedReply) *cassiaschema.PeerFrame {
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ForwardedReply{ForwardedReply: m}}
}

// decodeResult returns the result that a reply carries. A state that this version does not know counts as lost.
func decodeResult(m *cassiaschema.ForwardedReply) Result {
	switch m.GetState() {
	case cassiaschema.ForwardedReply_STATE_DECLINED:
		return Result{Outcome: cassiagateway.ForwardDeclined}
	case cassiaschema.ForwardedReply_STATE_UNREACHABLE:
		return Result{Outcome: cassiagateway.ForwardUnreachable}
	case cassiaschema.ForwardedReply_STATE_ANSWERED:
		return Result{Outcome: cassiagateway.ForwardAnswered,
			Reply: &cassiagateway.Reply{Status: int(m.GetStatus()), Header: cassiapeer.DecodeHeader(m.GetHeaders()), Body: m.GetBody(),
				Leaving: decodeProcess(m.GetLeaving())}}
	default:
		return Result{Outcome: cassiagateway.ForwardLost}
	}
}

func encodeProcess(p cassiaavailability.Process) *cassiaschema.TargetProcess {
	return &cassiaschema.TargetProcess{Target: string(p.Target), StartUnixMillis: p.StartUnixMillis}
}

func decodeProcess(m *cassiaschema.TargetProcess) cassiaavailability.Process {
	return cassiaavailability.Process{Target: cassiaid.TargetName(m.GetTarget()), StartUnixMillis: m.GetStartUnixMillis()}
}

func encodeProcesses(processes []cassiaavailability.Process) []*cassiaschema.TargetProcess {
	var encoded []*cassiaschema.TargetProcess
	for _, p := range processes {
		encoded = append(encoded, encodeProcess(p))
	}
	return encoded
}

func decodeProcesses(encoded []*cassiaschema.TargetProcess) []cassiaavailability.Process {
	var processes []cassiaavailability.Process
	for _, m := range encoded {
		processes = append(processes, decodeProcess(m))
	}
	return processes
}
