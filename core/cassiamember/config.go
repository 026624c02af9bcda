package cassiamember

import (
	"math"
	"math/rand/v2"
	"time"
)

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// Config holds what a Membership needs to start.
type Config struct {
	// Self describes this VM; New sets its state and incarnation.
	Self   Member
	Clock  Clock
	Random *rand.Rand
	Tuning Tuning
}

// Tuning holds the intervals and limits of the protocol; a zero field takes its default.
type Tuning struct {
	// ProbeInterval is the time between two probes, after which an unanswered probe has failed.
	ProbeInterval time.Duration
	// AckTimeout is how long a probe waits for its acknowledgement before other members are asked to probe the same
	// member.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe one that did not answer.
	IndirectProbes int
	// SuspicionFactor * ProbeInterval * max(1, log10(members)) is the time that a suspect has to refute.
	SuspicionFactor float64
	// RetransmitFactor * ln(members+1) is how many times an update is sent.
	RetransmitFactor float64
	// PushFanout is the number of members to which an update is sent immediately instead of with the next probe.
	PushFanout int
	// RemoteProbePeriod n sends every nth probe to another zone and all others to the own zone.
	RemoteProbePeriod int
	// JoinInterval is the time between two rounds of join requests after a start.
	JoinInterval time.Duration
	// JoinIntervalMax bounds the time between two rounds while no other member is known.
	JoinIntervalMax time.Duration
	// JoinFanout is the number of VMs asked in a round.
	JoinFanout int
	// ReviveInterval is the time between two probes of dead members.
	ReviveInterval time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
	// MismatchLimit is the number of packets with a differing digest after which this VM requests a sync.
	MismatchLimit int
	// BytesPerSecond bounds the bytes sent on average; once they are spent, probes carry no updates of other VMs.
	BytesPerSecond int
	// BurstBytes is the number of bytes that may be sent ahead of BytesPerSecond.
	BurstBytes int
	// MaxPacketBytes bounds one datagram.
	MaxPacketBytes int
}

// TickInterval is the time between two Tick messages.
const TickInterval = 100 * time.Millisecond

// Defaults of Tuning.
const (
	defaultProbeInterval     = time.Second
	defaultAckTimeout        = 400 * time.Millisecond
	defaultIndirectProbes    = 3
	defaultSuspicionFactor   = 4
	defaultRetransmitFactor  = 3
	defaultPushFanout        = 4
	defaultRemoteProbePeriod = 4
	defaultJoinInterval      = 250 * time.Millisecond
	defaultJoinIntervalMax   = 4 * time.Second
	defaultJoinFanout        = 4
	defaultReviveInterval    = 5 * time.Second
	defaultForgetAfter       = 24 * time.Hour
	defaultMismatchLimit     = 3
	defaultBytesPerSecond    = 1600
	defaultBurstBytes        = 64 << 10
	defaultMaxPacketBytes    = 1100
)

// withDefaults returns the tuning with each zero field set to its default.
func (t Tuning) withDefaults() Tuning {
	setDefault(&t.ProbeInterval, defaultProbeInterval)
	setDefault(&t.AckTimeout, defaultAckTimeout)
	setDefault(&t.IndirectProbes, defaultIndirectProbes)
	setDefault(&t.SuspicionFactor, defaultSuspicionFactor)
	setDefault(&t.RetransmitFactor, defaultRetransmitFactor)
	setDefault(&t.PushFanout, defaultPushFanout)
	setDefault(&t.RemoteProbePeriod, defaultRemoteProbePeriod)
	setDefault(&t.JoinInterval, defaultJoinInterval)
	setDefault(&t.JoinIntervalMax, defaultJoinIntervalMax)
	setDefault(&t.JoinFanout, defaultJoinFanout)
	setDefault(&t.ReviveInterval, defaultReviveInterval)
	setDefault(&t.ForgetAfter, defaultForgetAfter)
	setDefault(&t.MismatchLimit, defaultMismatchLimit)
	setDefault(&t.BytesPerSecond, defaultBytesPerSecond)
	setDefault(&t.BurstBytes, defaultBurstBytes)
	setDefault(&t.MaxPacketBytes, defaultMaxPacketBytes)
	return t
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicionTimeout returns how long a suspect has to refute, given the number of live members.
func (t Tuning) suspicionTimeout(members int) time.Duration {
	scale := math.Max(1, math.Log10(float64(members)))
	return time.Duration(t.SuspicionFactor * scale * float64(t.ProbeInterval))
}

const (
	// longQueueLength is the number of queued updates beyond which each is sent fewer times, since digests repair what
	// is missed.
	longQueueLength = 32
	// minRetransmits is the least number of times that an update is sent.
	minRetransmits = 3
)

// retransmitLimit returns how many times an update is sent, given the number of live members and of queued updates.
func (t Tuning) retransmitLimit(members, queued int) int {
	limit := t.RetransmitFactor * math.Log(float64(members+1))
	if queued > longQueueLength {
		limit *= longQueueLength / float64(queued)
	}
	return max(minRetransmits, int(math.Ceil(limit)))
}
