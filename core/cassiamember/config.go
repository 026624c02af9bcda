package cassiamember

import (
	"math"
	"math/rand/v2"
	"time"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Config describes this VM to its Membership.
type Config struct {
	// Self describes this VM; its state and incarnation are set by New.
	Self   Member
	Clock  Clock
	Random *rand.Rand
	Tuning Tuning
}

// Tuning holds the intervals and limits of the protocol; a zero field takes its default.
type Tuning struct {
	// ProbeInterval is the time between two probes, and how long a probe may remain unanswered.
	ProbeInterval time.Duration
	// AckTimeout is how long a probe waits before other members are asked to probe the same one.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe one that did not answer.
	IndirectProbes int
	// SuspicionFactor times the probe interval and the logarithm of the members is the time to refute a suspicion.
	SuspicionFactor float64
	// RetransmitFactor times the logarithm of the members is how often an update is sent on.
	RetransmitFactor float64
	// PushFanout is the number of members to which news is sent at once.
	PushFanout int
	// RemoteProbePeriod makes each such probe go to another zone and the others stay in the own zone.
	RemoteProbePeriod int
	// JoinInterval is the time between two rounds of asking for members after a start.
	JoinInterval time.Duration
	// JoinIntervalMax bounds the time between rounds of a VM that finds nobody.
	JoinIntervalMax time.Duration
	// JoinFanout is the number of VMs asked in a round.
	JoinFanout int
	// ReviveInterval is the time between two probes of dead members.
	ReviveInterval time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
	// MismatchLimit is the number of differing digests after which members are compared in detail.
	MismatchLimit int
	// BytesPerSecond bounds the bytes sent, beyond which packets carry nothing but the probe itself.
	BytesPerSecond int
	// BurstBytes is the number of bytes that may be sent ahead of BytesPerSecond.
	BurstBytes int
	// MaxPacketBytes bounds one datagram.
	MaxPacketBytes int
}

// TickInterval is the time between two Ticks.
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

// suspicionTimeout returns how long a suspect has to refute among a number of members.
func (t Tuning) suspicionTimeout(members int) time.Duration {
	scale := math.Max(1, math.Log10(float64(members)))
	return time.Duration(t.SuspicionFactor * scale * float64(t.ProbeInterval))
}

const (
	// longQueueLength is the number of updates beyond which each is sent on less often, since digests repair what is missed.
	longQueueLength = 32
	// minRetransmits is the least number of times that an update is sent on.
	minRetransmits = 3
)

// retransmitLimit returns how often an update is sent on among a number of members while others wait.
func (t Tuning) retransmitLimit(members, queued int) int {
	limit := t.RetransmitFactor * math.Log(float64(members+1))
	if queued > longQueueLength {
		limit *= longQueueLength / float64(queued)
	}
	return max(minRetransmits, int(math.Ceil(limit)))
}
