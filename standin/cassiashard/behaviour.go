package cassiashard

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Behaviour is how a target acts; it can be changed while the target runs.
type Behaviour struct {
	// Slots is how many attempts run at once.
	Slots int `json:"slots"`
	// MaxConnections is the cap over all clients; a connection over it is closed at once.
	MaxConnections int `json:"maxConnections"`
	// OtherConnections is how many connections under the cap another system holds.
	OtherConnections int `json:"otherConnections"`
	// ConnectMs is what each new connection costs before its first reply; connections are set up one after another.
	ConnectMs float64 `json:"connectMs"`
	// MedianMs is the median time that an attempt runs.
	MedianMs float64 `json:"medianMs"`
	// Sigma is the spread of the log-normal run times.
	Sigma float64 `json:"sigma"`
	// StragglerFactor multiplies all run times when above 0.
	StragglerFactor float64 `json:"stragglerFactor"`
	// SlowShare is the share of attempts whose run time is multiplied by SlowFactor.
	SlowShare  float64 `json:"slowShare"`
	SlowFactor float64 `json:"slowFactor"`
	// ColdMs is how long after a start all attempts are refused as cold.
	ColdMs float64 `json:"coldMs"`
	// WarmupMs is how long after ColdMs run times are multiplied by WarmupFactor.
	WarmupMs     float64 `json:"warmupMs"`
	WarmupFactor float64 `json:"warmupFactor"`
	// ShedAbove is the queue length from which attempts are refused as overloaded; 0 queues without bound.
	ShedAbove int `json:"shedAbove"`
	// Shards names the shards that the target serves; empty serves any.
	Shards []string `json:"shards"`
	// HeldSnapshots lists the index versions that the target can answer from.
	HeldSnapshots []uint64 `json:"heldSnapshots"`
	ShardMapEpoch uint64   `json:"shardMapEpoch"`
	Draining      bool     `json:"draining"`
	// HealthState replaces the state in health reports when not empty.
	HealthState string `json:"healthState"`
	// HealthLagMs is the age of what health reports show.
	HealthLagMs float64 `json:"healthLagMs"`
	// HealthLoad replaces the load in health reports when above 0.
	HealthLoad float64 `json:"healthLoad"`
	// CrashMarker crashes the target when it runs a body that contains it.
	CrashMarker string `json:"crashMarker"`
	// CrashAfterMs is how long such a body runs before the crash.
	CrashAfterMs float64 `json:"crashAfterMs"`
	// RestartMs is how long the target refuses connections after a crash.
	RestartMs float64 `json:"restartMs"`
	// Lost closes all connections and refuses new ones.
	Lost bool `json:"lost"`
	// Hang takes requests and never answers them.
	Hang bool `json:"hang"`
	// BackgroundLoad is the share of the slots' time that requests of another system take.
	BackgroundLoad float64 `json:"backgroundLoad"`
	// RowBytes is the least size of the rows of a reply.
	RowBytes int `json:"rowBytes"`
	// ReplyFaults are the shares of replies that go wrong.
	ReplyFaults ReplyFaults `json:"replyFaults"`
}

// ReplyFaults gives the share, from 0 to 1, of replies with each fault.
type ReplyFaults struct {
	Duplicate      float64 `json:"duplicate"`
	Truncate       float64 `json:"truncate"`
	WrongAttempt   float64 `json:"wrongAttempt"`
	WrongSnapshot  float64 `json:"wrongSnapshot"`
	Late           float64 `json:"late"`
	LateMs         float64 `json:"lateMs"`
	CutBeforeReply float64 `json:"cutBeforeReply"`
}

// DefaultBehaviour returns a calm target of the common size: 2 slots, 25 connections, 6 ms per new connection.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		Slots: 2, MaxConnections: 25, ConnectMs: 6,
		MedianMs: 8, Sigma: 0.35,
		ShedAbove: 32, HeldSnapshots: []uint64{1},
		RestartMs: 1000,
	}
}

// Merge returns the behaviour with the fields that a JSON text names replaced.
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

// holdsSnapshot tells whether the target can answer from a snapshot.
func (b Behaviour) holdsSnapshot(snapshot uint64) bool {
	return slices.Contains(b.HeldSnapshots, snapshot)
}

// newestSnapshot returns the newest snapshot held, 0 when there is none.
func (b Behaviour) newestSnapshot() uint64 {
	var newest uint64
	for _, s := range b.HeldSnapshots {
		newest = max(newest, s)
	}
	return newest
}

// servesShard tells whether the target holds a shard.
func (b Behaviour) servesShard(shard string) bool {
	return len(b.Shards) == 0 || slices.Contains(b.Shards, shard)
}

// isCold tells whether the target refuses work so long after its start.
func (b Behaviour) isCold(age time.Duration) bool {
	return b.ColdMs > 0 && age < milliseconds(b.ColdMs)
}

// runTime draws how long an attempt runs, so long after the target's start.
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

// milliseconds turns a number of milliseconds into a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
