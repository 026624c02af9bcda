package cassiatarget

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Names of the HTTP headers exchanged with targets.
const (
	headerAttempt        = "Attempt-Id"
	headerShard          = "Shard"
	headerSnapshot       = "Snapshot"
	headerEpoch          = "Shard-Map-Epoch"
	headerDeadline       = "Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerHeld           = "Held-Snapshots"
	headerDraining       = "Draining"
	headerNotStarted     = "Not-Started"
	// headerAcceptedRate names the requests a second that the target accepts from all VMs together, while it needs relief.
	headerAcceptedRate = "Accepted-Rate"
)

// Health is a target's health report. State is ready, cold or draining; Load is the number of running and queued
// attempts divided by the number of slots.
type Health struct {
	State         string              `json:"state"`
	HeldSnapshots []cassiaid.Snapshot `json:"heldSnapshots"`
	ShardMapEpoch cassiaid.Epoch      `json:"shardMapEpoch"`
	Load          float64             `json:"load"`
}

// Draining reports whether the target is draining.
func (h *Health) Draining() bool { return h.State == "draining" }

func readHealth(content []byte) (*Health, error) {
	h := &Health{}
	if err := json.Unmarshal(content, h); err != nil {
		return nil, err
	}
	return h, nil
}

// readTargetState copies the target's state from the headers of a reply to the result.
func readTargetState(result *cassiaschema.ShardResult, header http.Header) {
	for _, word := range strings.Split(header.Get(headerHeld), ",") {
		if snapshot, err := strconv.ParseUint(strings.TrimSpace(word), 10, 64); err == nil {
			result.HeldSnapshots = append(result.HeldSnapshots, snapshot)
		}
	}
	result.ShardMapEpoch = uintHeader(header, headerEpoch)
	result.Snapshot = uintHeader(header, headerSnapshot)
	result.Draining = header.Get(headerDraining) == "true"
	if values := header.Values(headerAcceptedRate); len(values) > 0 || header.Get(headerNotStarted) == "" {
		result.Acceptance = cassiabudget.ParseAcceptance(values).Message()
	}
}

// readPause copies the pause that a target asks for when it refuses an attempt to the result.
func readPause(result *cassiaschema.ShardResult, reply *http.Response) {
	if reply.StatusCode == http.StatusServiceUnavailable {
		result.Availability = cassiaavailability.ParseStatement(nil, reply.Header.Values("Retry-After")).Message()
	}
}

// uintHeader returns the value of a numeric header, or 0 if it is absent or malformed.
func uintHeader(header http.Header, name string) uint64 {
	value, err := strconv.ParseUint(header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// matchesCall reports whether a reply echoes the attempt and shard of the call.
func matchesCall(call Call, header http.Header) bool {
	return uintHeader(header, headerAttempt) == uint64(call.Attempt) && header.Get(headerShard) == call.ShardName
}

// classifyStatus sets the outcome for a status other than 200. Only a Not-Started header proves that the attempt did not
// start.
func classifyStatus(ctx context.Context, result *cassiaschema.ShardResult, reply *http.Response) {
	reason := reply.Header.Get(headerNotStarted)
	result.Started = reason == ""
	switch {
	case reason == "draining":
		result.Outcome = cassiaschema.ShardOutcome_draining
		result.Draining = true
	case reason == "overloaded", reason == "cold":
		result.Outcome = cassiaschema.ShardOutcome_overloaded
	case reply.StatusCode == http.StatusGone:
		result.Outcome = cassiaschema.ShardOutcome_snapshotGone
	case reply.StatusCode == http.StatusConflict:
		result.Outcome = cassiaschema.ShardOutcome_repartitioned
	case ctx.Err() != nil:
		result.Outcome = cassiaschema.ShardOutcome_cancelled
	case reply.StatusCode == http.StatusGatewayTimeout:
		result.Outcome = cassiaschema.ShardOutcome_timedOut
	case reply.StatusCode == http.StatusServiceUnavailable:
		result.Outcome = cassiaschema.ShardOutcome_overloaded
	default:
		result.Outcome = cassiaschema.ShardOutcome_failed
	}
}
