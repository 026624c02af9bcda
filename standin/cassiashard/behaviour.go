package cassiashard

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/standin/cassiabadreply"
)

// Behaviour configures what a target simulates; it can be changed while the target runs.
type Behaviour struct {
	// Slots is how many attempts can run concurrently.
	Slots int `json:"slots"`
	// MaxConnections caps the open connections of all clients; a connection beyond it is closed at once. 0 means no cap.
	MaxConnections int `json:"maxConnections"`
	// OtherConnections is how many connections of another system count towards MaxConnections.
	OtherConnections int `json:"otherConnections"`
	// ConnectMs is how long the set-up of a connection delays its first request. The target sets up one connection at a
	// time.
	ConnectMs float64 `json:"connectMs"`
	// MedianMs is the median of the run times of attempts.
	MedianMs float64 `json:"medianMs"`
	// Sigma is the standard deviation of the natural logarithm of the run times, which are log-normal.
	Sigma float64 `json:"sigma"`
	// StragglerFactor multiplies all run times if above 0.
	StragglerFactor float64 `json:"stragglerFactor"`
	// SlowShare is the share, from 0 to 1, of attempts whose run time is multiplied by SlowFactor.
	SlowShare  float64 `json:"slowShare"`
	SlowFactor float64 `json:"slowFactor"`
	// ColdMs is for how long after its start the target refuses all attempts as cold.
	ColdMs float64 `json:"coldMs"`
	// WarmupMs is for how long after the end of ColdMs run times are multiplied by WarmupFactor.
	WarmupMs     float64 `json:"warmupMs"`
	WarmupFactor float64 `json:"warmupFactor"`
	// ShedAbove is the queue length from which attempts are refused as overloaded; 0 means an unbounded queue.
	ShedAbove int `json:"shedAbove"`
	// Shards lists the shards that the target serves; empty means any shard.
	Shards []string `json:"shards"`
	// HeldSnapshots lists the snapshots (index versions) that the target can run queries on.
	HeldSnapshots []uint64 `json:"heldSnapshots"`
	ShardMapEpoch uint64   `json:"shardMapEpoch"`
	Draining      bool     `json:"draining"`
	// AcceptedRate is the requests a second that the target says it accepts; 0 means that it says nothing.
	AcceptedRate float64 `json:"acceptedRate"`
	// PauseSeconds makes the target refuse all attempts as overloaded, with this Retry-After, if it is above 0.
	PauseSeconds float64 `json:"pauseSeconds"`
	// HealthState replaces the true state in health reports if not empty.
	HealthState string `json:"healthState"`
	// HealthLagMs is how old the state, snapshots and shard map epoch in health reports are; the load is never delayed.
	HealthLagMs float64 `json:"healthLagMs"`
	// HealthLoad replaces the true load in health reports if above 0.
	HealthLoad float64 `json:"healthLoad"`
	// CrashMarker is a text that crashes the target when it runs a query whose body contains it; empty means none.
	CrashMarker string `json:"crashMarker"`
	// CrashAfterMs is how long such a query runs before the crash.
	CrashAfterMs float64 `json:"crashAfterMs"`
	// RestartMs is how long the target refuses connections after a crash.
	RestartMs float64 `json:"restartMs"`
	// Lost closes all connections and refuses new ones.
	Lost bool `json:"lost"`
	// Hang accepts attempts and never replies to them.
	Hang bool `json:"hang"`
	// BackgroundLoad is the share, from 0 to below 1, of the slots' time that requests of another system use.
	BackgroundLoad float64 `json:"backgroundLoad"`
	// RowBytes is the size of the filler in a reply's rows, and so the minimum size of the rows.
	RowBytes int `json:"rowBytes"`
	// ReplyFaults configures the faults of replies.
	ReplyFaults ReplyFaults `json:"replyFaults"`
}

// ReplyFaults holds the probability, from 0 to 1, of each fault of a reply, with LateMs for the delay of a late reply
// and Status for a malformed status.
type ReplyFaults struct {
	Duplicate      float64 `json:"duplicate"`
	Truncate       float64 `json:"truncate"`
	WrongAttempt   float64 `json:"wrongAttempt"`
	WrongSnapshot  float64 `json:"wrongSnapshot"`
	Late           float64 `json:"late"`
	LateMs         float64 `json:"lateMs"`
	CutBeforeReply float64 `json:"cutBeforeReply"`
	// EndlessHead and EndlessBody make a reply go on until the connection is closed, in its headers or in its rows.
	EndlessHead float64 `json:"endlessHead"`
	EndlessBody float64 `json:"endlessBody"`
	// MalformedStatus makes a reply have the status Status, and keep its connection open.
	MalformedStatus float64              `json:"malformedStatus"`
	Status          cassiabadreply.Fault `json:"status"`
}

// DefaultBehaviour returns the behaviour of a typical target without faults: 2 slots, 25 connections, 6 ms per new
// connection.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		Slots: 2, MaxConnections: 25, ConnectMs: 6,
		MedianMs: 8, Sigma: 0.35,
		ShedAbove: 32, HeldSnapshots: []uint64{1},
		RestartMs: 1000,
	}
}

// Merge returns a copy of the behaviour with the fields of a JSON object replaced. If the patch is invalid, it returns
// the behaviour unchanged and an error.
func (b Behaviour) Merge(patch []byte) (Behaviour, error) {
	merged := b
	merged.Shards = slices.Clone(b.Shards)
	merged.HeldSnapshots = slices.Clone(b.HeldSnapshots)
	if err := json.Unmarshal(patch, &merged); err != nil {
		return b, eris.Wrap(err, "send behaviour fields as a JSON object")
	}
	if merged.Slots < 0 || merged.MaxConnections < 0 || merged.BackgroundLoad < 0 || merged.BackgroundLoad >= 1 {
		return b, eris.New("slots and maxConnections must not be negative and backgroundLoad must be from 0 to below 1")
	}
	return merged, nil
}

// holdsSnapshot reports whether the target can run queries on a snapshot.
func (b Behaviour) holdsSnapshot(snapshot uint64) bool {
	return slices.Contains(b.HeldSnapshots, snapshot)
}

// newestSnapshot returns the newest snapshot held, or 0 if there is none.
func (b Behaviour) newestSnapshot() uint64 {
	var newest uint64
	for _, s := range b.HeldSnapshots {
		newest = max(newest, s)
	}
	return newest
}

// servesShard reports whether the target serves a shard.
func (b Behaviour) servesShard(shard string) bool {
	return len(b.Shards) == 0 || slices.Contains(b.Shards, shard)
}

// isCold reports whether a target that started age ago still refuses attempts as cold.
func (b Behaviour) isCold(age time.Duration) bool {
	return b.ColdMs > 0 && age < milliseconds(b.ColdMs)
}

// runTime draws the run time of an attempt at a target that started age ago.
func (b Behaviour) runTime(random *rand.Rand, age time.Duration) time.Duration {
	ms := b.MedianMs * math.Exp(b.Sigma*random.NormFloat64())
	if b.StragglerFactor > 0 {
		ms *= b.StragglerFactor
	}
	if b.SlowShare > 0 && random.Float64() < b.SlowShare {
		ms *= b.SlowFactor
	}
	if b.WarmupFactor > 0 && age < milliseconds(b.ColdMs+b.WarmupMs) {
		ms *= b.WarmupFactor
	}
	return milliseconds(ms)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
