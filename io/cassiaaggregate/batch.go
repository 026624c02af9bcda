package cassiaaggregate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
)

// Attempt is one send of a request to one target.
type Attempt struct {
	ID     cassiaid.AttemptID
	Target cassiaid.TargetName
	// Unpruned asks for the TopK greatest records of this target's answer. Without it, the result is pruned: the
	// aggregator leaves out records that cannot be among the TopK greatest of the batch.
	Unpruned bool
	// Extra is true for an attempt beyond the first at a shard; the retry budget of the receiving VM must allow it.
	Extra bool
	// Force has the attempt sent even if the aggregator considers its target unfit because earlier attempts stalled or
	// failed.
	Force bool
}

// Batch is one request to several targets of an availability zone.
type Batch struct {
	Query cassiagateway.QueryID
	// Call is the request; its Address and Instance are ignored.
	Call  cassiapool.Call
	Route cassiacatalog.RouteName
	// TopK is how many of the greatest records the caller wants; at 0 all results are empty.
	TopK int
	// Floor is a record below which the results of unpruned attempts need not hold any; it may be empty.
	Floor []byte
	// Attempts has at least one element.
	Attempts []Attempt
}

// encode returns the frame that carries the batch; now is the base of the remaining time.
func (b *Batch) encode(now time.Time) *cassiaschema.PeerFrame {
	m := &cassiaschema.AggregateBatch{QueryId: uint64(b.Query), Method: b.Call.Method, Uri: b.Call.URI, Host: b.Call.Host,
		RequestId: b.Call.RequestID, Body: b.Call.Body, Remaining: durationpb.New(b.Call.Deadline.Sub(now)), TopK: uint32(b.TopK),
		Route: string(b.Route), Floor: b.Floor, Headers: cassiapeer.EncodeHeader(b.Call.Header)}
	m.FirstAttemptId = uint64(b.Attempts[0].ID)
	for _, a := range b.Attempts {
		m.Attempts = append(m.Attempts, &cassiaschema.AggregateAttempt{Number: uint64(a.ID) - m.GetFirstAttemptId(),
			Target: string(a.Target), Whole: a.Unpruned, Extra: a.Extra, Force: a.Force})
	}
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AggregateBatch{AggregateBatch: m}}
}

// decodeCall returns the request of a received batch, which its attempts share but for the target.
func decodeCall(m *cassiaschema.AggregateBatch, now time.Time) cassiapool.Call {
	return cassiapool.Call{Method: m.GetMethod(), URI: m.GetUri(),
		Host: m.GetHost(), Header: cassiapeer.DecodeHeader(m.GetHeaders()), RequestID: m.GetRequestId(), Body: m.GetBody(),
		Deadline: now.Add(m.GetRemaining().AsDuration())}
}
