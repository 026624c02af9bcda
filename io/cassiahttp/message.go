package cassiahttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

// answerBody is the JSON encoding of an answer.
type answerBody struct {
	RequestID     string            `json:"requestId"`
	Snapshot      uint64            `json:"snapshot"`
	ShardMapEpoch uint64            `json:"shardMapEpoch"`
	Coverage      coverageBody      `json:"coverage"`
	Rows          []json.RawMessage `json:"rows"`
}

type coverageBody struct {
	Asked    int           `json:"asked"`
	Answered int           `json:"answered"`
	Fraction float64       `json:"fraction"`
	Missing  []missingBody `json:"missing"`
}

type missingBody struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// refusalBody is the JSON encoding of a refusal.
type refusalBody struct {
	Kind         cassiaplan.RefusalKind `json:"kind"`
	Message      string                 `json:"message"`
	Ran          cassiaplan.Ran         `json:"ran"`
	RetryAfterMs int64                  `json:"retryAfterMs"`
	RequestID    string                 `json:"requestId"`
	Coverage     *coverageBody          `json:"coverage,omitempty"`
}

func newCoverageBody(front *cassiaschema.Front, coverage cassiaplan.Coverage) coverageBody {
	body := coverageBody{
		Asked: coverage.Asked, Answered: coverage.Answered, Fraction: coverage.Fraction(),
		Missing: make([]missingBody, 0, len(coverage.Missing)),
	}
	for _, m := range coverage.Missing {
		body.Missing = append(body.Missing, missingBody{Shard: ShardName(front, m.Shard), Reason: string(m.Reason)})
	}
	return body
}

// ShardName returns a shard's name, or "shard N" if front has no shard N. That happens when a query restarted on a
// newer shard map, which can have more shards than the settings with which the request was validated.
func ShardName(front *cassiaschema.Front, shard cassiaid.ShardIndex) string {
	if int(shard) < len(front.GetShards()) {
		return front.Shards[shard].Name
	}
	return fmt.Sprintf("shard %d", shard)
}

// EncodeAnswer returns the JSON encoding of an answer.
func EncodeAnswer(requestID string, front *cassiaschema.Front, answer *cassiaplan.Answer) ([]byte, error) {
	rows := make([]json.RawMessage, 0, len(answer.Rows))
	for _, r := range answer.Rows {
		rows = append(rows, r.Rows)
	}
	return json.Marshal(answerBody{
		RequestID: requestID, Snapshot: uint64(answer.Snapshot), ShardMapEpoch: uint64(answer.Epoch),
		Coverage: newCoverageBody(front, answer.Coverage), Rows: rows,
	})
}

func encodeRefusal(requestID string, front *cassiaschema.Front, refusal *cassiaplan.Refusal) ([]byte, error) {
	body := refusalBody{
		Kind: refusal.Kind, Message: refusal.Message, Ran: refusal.Ran,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(), RequestID: requestID,
	}
	if refusal.Coverage != nil && front != nil {
		coverage := newCoverageBody(front, *refusal.Coverage)
		body.Coverage = &coverage
	}
	return json.Marshal(body)
}

// httpStatus returns the HTTP status code for a kind of refusal.
func httpStatus(kind cassiaplan.RefusalKind) int {
	switch kind {
	case cassiaplan.RefusalBadRequest:
		return http.StatusBadRequest
	case cassiaplan.RefusalNotFound:
		return http.StatusNotFound
	case cassiaplan.RefusalTooLarge:
		return http.StatusRequestEntityTooLarge
	case cassiaplan.RefusalQuarantined:
		return http.StatusUnprocessableEntity
	case cassiaplan.RefusalOverloaded:
		return http.StatusTooManyRequests
	case cassiaplan.RefusalDeadlineExceeded:
		return http.StatusGatewayTimeout
	case cassiaplan.RefusalOutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// retryAfterSeconds rounds a delay up to whole seconds, the unit of the Retry-After header.
func retryAfterSeconds(delay time.Duration) int64 {
	return int64((delay + time.Second - 1) / time.Second)
}
