package cassiabench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiasaddle/standin/cassiashard"
)

// Bounds of the latency histogram.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// Result is what one policy did with a scenario's load.
type Result struct {
	Policy Policy `json:"policy"`
	Measures
	// ProcessCPUMsPerQuery is the processor time of VMs, stand-ins and callers together.
	ProcessCPUMsPerQuery float64 `json:"processCpuMsPerQuery"`
	// PeerMessagesPerQuery is present when the VMs' metrics give it.
	PeerMessagesPerQuery *PeerMessages `json:"peerMessagesPerQuery,omitempty"`
	TargetCrashes        int           `json:"targetCrashes"`
	ConnectionsRefused   int           `json:"connectionsRefused"`
	Violations           Violations    `json:"violations"`
	// RefusalMessages holds one message for each kind of refusal.
	RefusalMessages map[string]string `json:"refusalMessages,omitempty"`
	// Examples tells some of the violations in words.
	Examples []string            `json:"examples,omitempty"`
	Fronts   map[string]Measures `json:"fronts"`
	Phases   []PhaseMeasures     `json:"phases,omitempty"`
}

// PeerMessages is the number of messages between VMs for one query: all that VMs sent and all that they received,
// requests, replies and control together.
type PeerMessages struct {
	Out float64 `json:"out"`
	In  float64 `json:"in"`
}

// PhaseMeasures are the measures of one part of the time.
type PhaseMeasures struct {
	Phase string `json:"phase"`
	Measures
}

// Measures are the figures of a set of requests.
type Measures struct {
	Queries int `json:"queries"`
	// Latencies count from the planned arrival; a request without an answer counts at least its deadline.
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	// CoverageMean counts a request without an answer as 0.
	CoverageMean float64 `json:"coverageMean"`
	FullAnswers  int     `json:"fullAnswers"`
	// ExtraLoad is the share of executions beyond the first of each shard of each request.
	ExtraLoad float64 `json:"extraLoad"`
	// Refusals counts requests without an answer by their reason.
	Refusals map[string]int `json:"refusals"`
	// RefusalP50Ms and RefusalP99Ms are times until a final refusal as the callers saw them.
	RefusalP50Ms float64 `json:"refusalP50Ms"`
	RefusalP99Ms float64 `json:"refusalP99Ms"`
	// SlowestRefusalMs is the longest time until a final refusal.
	SlowestRefusalMs float64 `json:"slowestRefusalMs"`
	// Missing counts missing shards of answers by their reason.
	Missing map[string]int `json:"missing"`
}

// evaluate measures and checks a run.
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

// refusalMessages returns one message for each kind of refusal.
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

// startedByShard counts the executions begun for each body and shard.
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

// measure returns the figures of some requests. Requests that crash targets are left out.
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

// recordLatency adds a latency within the histogram's bounds.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func refusalReason(r *reply) string {
	if r.Refusal != nil {
		return string(r.Refusal.Kind)
	}
	return "unanswered"
}

// extraLoad returns the share of executions beyond one for each sending and shard.
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
