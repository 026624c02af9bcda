package cassiaforward

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
	"cassiasaddle/io/cassiastatus"
)

// Request is a caller's request that one VM passes to another.
type Request struct {
	// Call is what the caller sent, without a target.
	Call cassiapool.Call
	// Configuration is the version by which the first VM would serve the request.
	Configuration cassiacatalog.Version
	// Caller and Content identify the request with and without its caller's address.
	Caller, Content cassiaid.Fingerprint
	// Statements holds what targets that could serve the request have stated to the first VM.
	Statements []cassiagateway.TargetStatement
}

// encode returns the frame that carries the request; now is the base of the remaining time.
func (r *Request) encode(id uint64, now time.Time) *cassiaschema.PeerFrame {
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ForwardedRequest{ForwardedRequest: &cassiaschema.ForwardedRequest{
		ForwardId: id, Method: r.Call.Method, Uri: r.Call.URI, Host: r.Call.Host, Headers: cassiapeer.EncodeHeader(r.Call.Header),
		RequestId: r.Call.RequestID, Body: r.Call.Body, Remaining: durationpb.New(r.Call.Deadline.Sub(now)),
		Configuration: uint64(r.Configuration), CallerFingerprint: uint64(r.Caller),
		ContentFingerprint: uint64(r.Content), Statements: encodeStatements(r.Statements)}}}
}

func decodeRequest(m *cassiaschema.ForwardedRequest, now time.Time) Request {
	call := cassiapool.Call{Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Header: cassiapeer.DecodeHeader(m.GetHeaders()),
		RequestID: m.GetRequestId(), Body: m.GetBody(), Deadline: now.Add(m.GetRemaining().AsDuration())}
	return Request{Call: call, Configuration: cassiacatalog.Version(m.GetConfiguration()), Caller: cassiaid.Fingerprint(m.GetCallerFingerprint()), Content: cassiaid.Fingerprint(m.GetContentFingerprint()),
		Statements: decodeStatements(m.GetStatements())}
}

// Result is how a VM served a request of another one.
type Result struct {
	Outcome cassiagateway.ForwardOutcome
	// Reply is the answer for the caller if Outcome is ForwardAnswered.
	Reply *cassiagateway.Reply
	// Statements holds what targets have stated in answers to the request.
	Statements []cassiagateway.TargetStatement
}

// encode returns the frame that carries the result.
func (r Result) encode(id uint64) *cassiaschema.PeerFrame {
	m := &cassiaschema.ForwardedReply{ForwardId: id, Statements: encodeStatements(r.Statements)}
	switch r.Outcome {
	case cassiagateway.ForwardDeclined:
		m.State = cassiaschema.ForwardedReply_STATE_DECLINED
	case cassiagateway.ForwardUnreachable:
		m.State = cassiaschema.ForwardedReply_STATE_UNREACHABLE
	case cassiagateway.ForwardAnswered:
		m.State = cassiaschema.ForwardedReply_STATE_ANSWERED
		m.Status, m.Headers, m.Body = uint32(r.Reply.Status), cassiapeer.EncodeHeader(r.Reply.Header), r.Reply.Body
	}
	return replyFrame(m)
}

func replyFrame(m *cassiaschema.ForwardedReply) *cassiaschema.PeerFrame {
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ForwardedReply{ForwardedReply: m}}
}

// decodeResult returns the result that a reply carries. A state that this version does not know counts as lost, and so does an answer whose
// status is malformed: a VM of an earlier build may have taken it from a target, which has run the request.
func decodeResult(m *cassiaschema.ForwardedReply) Result {
	r := Result{Outcome: cassiagateway.ForwardLost, Statements: decodeStatements(m.GetStatements())}
	switch m.GetState() {
	case cassiaschema.ForwardedReply_STATE_DECLINED:
		r.Outcome = cassiagateway.ForwardDeclined
	case cassiaschema.ForwardedReply_STATE_UNREACHABLE:
		r.Outcome = cassiagateway.ForwardUnreachable
	case cassiaschema.ForwardedReply_STATE_ANSWERED:
		if !cassiastatus.Valid(int(m.GetStatus())) {
			break
		}
		r.Outcome = cassiagateway.ForwardAnswered
		r.Reply = &cassiagateway.Reply{Status: int(m.GetStatus()), Header: cassiapeer.DecodeHeader(m.GetHeaders()), Body: m.GetBody()}
	}
	return r
}

func encodeStatements(statements []cassiagateway.TargetStatement) []*cassiaschema.TargetStatement {
	var encoded []*cassiaschema.TargetStatement
	for _, s := range statements {
		encoded = append(encoded, &cassiaschema.TargetStatement{Target: string(s.Process.Target), StartUnixMillis: s.Process.StartUnixMillis,
			Availability: s.Statement.Message()})
	}
	return encoded
}

func decodeStatements(encoded []*cassiaschema.TargetStatement) []cassiagateway.TargetStatement {
	var statements []cassiagateway.TargetStatement
	for _, m := range encoded {
		statements = append(statements, cassiagateway.TargetStatement{
			Process:   cassiaavailability.Process{Target: cassiaid.TargetName(m.GetTarget()), StartUnixMillis: m.GetStartUnixMillis()},
			Statement: cassiaavailability.StatementFrom(m.GetAvailability())})
	}
	return statements
}
