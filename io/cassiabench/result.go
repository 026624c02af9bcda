package cassiabench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiasaddle/standin/cassiashard"
)

// Bounds of the latency histogram, in microseconds, and its precision in decimal digits.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// Result holds the measures and violations of one policy under a scenario's load.
type Result struct {
	Policy Policy `json:"policy"`
	Measures
	// ProcessCPUMsPerQuery is the CPU time per request, in ms, of VMs, stand-ins and callers together.
	ProcessCPUMsPerQuery float64 `json:"processCpuMsPerQuery"`
	// PeerMessagesPerQuery is nil if the VMs' metrics counted no query, as for the baseline.
	PeerMessagesPerQuery *PeerMessages `json:"peerMessagesPerQuery,omitempty"`
	TargetCrashes        int           `json:"targetCrashes"`
	ConnectionsRefused   int           `json:"connectionsRefused"`
	Violations           Violations    `json:"violations"`
	// RefusalMessages holds the first message of each kind of refusal.
	RefusalMessages map[string]string `json:"refusalMessages,omitempty"`
	// Examples describes the first violations that were found.
	Examples []string            `json:"examples,omitempty"`
	Fronts   map[string]Measures `json:"fronts"`
	Phases   []PhaseMeasures     `json:"phases,omitempty"`
}

// PeerMessages is the number of messages between VMs per query: all that VMs sent and all that they received, including
// requests, replies and control messages.
type PeerMessages struct {
	Out float64 `json:"out"`
	In  float64 `json:"in"`
}

// PhaseMeasures holds the measures of one phase of a scenario.
type PhaseMeasures struct {
	Phase string `json:"phase"`
	Measures
}

// Measures holds the latencies, coverage and refusals of a set of requests. Requests that crash targets are left out.
type Measures struct {
	Queries int `json:"queries"`
	// Latencies count from the planned send time; a request without an answer counts as at least its deadline.
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	// CoverageMean counts a request without an answer as 0.
	CoverageMean float64 `json:"coverageMean"`
	FullAnswers  int     `json:"fullAnswers"`
	// ExtraLoad is the number of executions beyond one for each send and shard, divided by the number of the others. A
	// caller's repeat is another send.
	ExtraLoad float64 `json:"extraLoad"`
	// Refusals counts requests without an answer, by kind of refusal or as "unanswered".
	Refusals map[string]int `json:"refusals"`
	// RefusalP50Ms and RefusalP99Ms are percentiles of the time from the planned send time until a request ended
	// without an answer, as callers measured it.
	RefusalP50Ms float64 `json:"refusalP50Ms"`
	RefusalP99Ms float64 `json:"refusalP99Ms"`
	// SlowestRefusalMs is the longest time until a request ended without an answer.
	SlowestRefusalMs float64 `json:"slowestRefusalMs"`
	// Missing counts the missing shards of answers, by reason.
	Missing map[string]int `json:"missing"`
}

// evaluate computes the measures of a run and checks it for violations. Requests of the warm-up are checked but not
// measured.
func evaluate(s Scenario, e observations) *Result {
	result := &Result{Fronts: map[string]Measures{}}
	result.Violations, result.Examples = check(e)
	started := startedByShard(e.Executions)
	measured := slices.DeleteFunc(slices.Clone(e.Replies), func(r *reply) bool { return r.Request.At < s.WarmUp })
	result.Measures = measure(measured, started)
	result.RefusalMessages = refusalMessages(measured)
	for _, l := range s.Loads {
		of := func(r *reply) bool { return r.Request.Team == l.Team && r.Request.Front.GetName() == l.Front }
		result.Fronts[l.Team+"/"+l.Front] = measure(filter(measured, of), started)
	}
	for _, p := range s.Phases {
		of := func(r *reply) bool { return r.Request.At >= s.WarmUp+p.From && r.Request.At < s.WarmUp+p.To }
		result.Phases = append(result.Phases, PhaseMeasures{p.Name, measure(filter(measured, of), started)})
	}
	return result
}

// refusalMessages returns the first message of each kind of refusal.
func refusalMessages(replies []*reply) map[string]string {
	messages := map[string]string{}
	for _, r := range replies {
		if r.Answer == nil && messages[refusalReason(r)] == "" {
			messages[refusalReason(r)] = r.Failure
			if r.Refusal != nil {
				messages[refusalReason(r)] = r.Refusal.Message
			}
		}
	}
	return messages
}

func filter(replies []*reply, keep func(*reply) bool) []*reply {
	return slices.DeleteFunc(slices.Clone(replies), func(r *reply) bool { return !keep(r) })
}

// startedByShard counts the started executions, by body hash and shard.
func startedByShard(executions []cassiashard.Execution) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, x := range executions {
		if !x.Started() {
			continue
		}
		if counts[x.BodyHash] == nil {
			counts[x.BodyHash] = map[string]int{}
		}
		counts[x.BodyHash][x.Shard]++
	}
	return counts
}

// measure returns the measures of some requests. Requests that crash targets are left out.
func measure(replies []*reply, started map[string]map[string]int) Measures {
	replies = filter(replies, func(r *reply) bool { return !r.Request.Crashing })
	m := Measures{Queries: len(replies), Refusals: map[string]int{}, Missing: map[string]int{}}
	latencies, refusals := newLatencyHistogram(), newLatencyHistogram()
	sends := map[string]int{}
	covered := 0.0
	var slowest time.Duration
	for _, r := range replies {
		sends[r.Request.BodyHash]++
		latency := r.Latency
		if r.Answer == nil {
			latency = max(latency, r.Request.deadline())
			m.Refusals[refusalReason(r)]++
			slowest = max(slowest, r.Latency)
			recordLatency(refusals, r.Latency)
		} else {
			fraction := float64(len(r.Answer.Rows)) / float64(r.Request.shardCount())
			covered += fraction
			if fraction == 1 {
				m.FullAnswers++
			}
			for _, missing := range r.Answer.Coverage.Missing {
				m.Missing[missing.Reason]++
			}
		}
		recordLatency(latencies, latency)
	}
	m.RefusalP50Ms, m.RefusalP99Ms = quantile(refusals, 0.5), quantile(refusals, 0.99)
	m.SlowestRefusalMs = roundTo(slowest.Seconds()*1000, 1)
	m.ExtraLoad = roundTo(extraLoad(sends, started), 4)
	if len(replies) > 0 {
		m.CoverageMean = roundTo(covered/float64(len(replies)), 5)
		m.P50Ms, m.P99Ms, m.P999Ms = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	}
	return m
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

// recordLatency records a latency, clamped to the histogram's bounds.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func refusalReason(r *reply) string {
	if r.Refusal != nil {
		return string(r.Refusal.Kind)
	}
	return "unanswered"
}

// extraLoad returns the ratio of executions beyond one per send and shard to the other executions.
func extraLoad(sends map[string]int, started map[string]map[string]int) float64 {
	needed, extra := 0, 0
	for body, sent := range sends {
		for _, count := range started[body] {
			needed += min(count, sent)
			extra += max(0, count-sent)
		}
	}
	if needed == 0 {
		return 0
	}
	return float64(extra) / float64(needed)
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return roundTo(float64(h.ValueAtQuantile(q*100))/float64(time.Millisecond/time.Microsecond), 3)
}

func roundTo(value float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(value*scale) / scale
}
