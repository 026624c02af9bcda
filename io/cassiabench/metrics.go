package cassiabench

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cassiasaddle/core/cassiaschema"
)

// Names of the VM counters that the bench reads.
const (
	metricFramesSent     = "cassiasaddle_peerFramesSent"
	metricFramesReceived = "cassiasaddle_peerFramesReceived"
	metricQueries        = "cassiasaddle_queryTime_count"
)

// vmCounters holds counters summed over VMs, by name.
type vmCounters map[string]float64

// readCounters sums the counters of all VMs, skipping VMs that do not answer.
func readCounters(ctx context.Context, vms []*cassiaschema.VmConfig) vmCounters {
	sum := vmCounters{}
	for _, vm := range vms {
		call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.GetOperatorAddress()+"/metrics", nil)
		if err != nil {
			continue
		}
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			continue
		}
		sum.add(response.Body)
		_ = response.Body.Close()
	}
	return sum
}

// add parses the Prometheus text format and adds each value to the counter of that name. It does not parse labels.
func (c vmCounters) add(text io.Reader) {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if found && err == nil && !strings.HasPrefix(name, "#") {
			c[name] += number
		}
	}
}

// peerMessages returns the messages between VMs per query since an earlier reading, or nil if no query was counted
// since.
func (c vmCounters) peerMessages(before vmCounters) *PeerMessages {
	queries := c[metricQueries] - before[metricQueries]
	if queries <= 0 {
		return nil
	}
	return &PeerMessages{
		Out: roundTo((c[metricFramesSent]-before[metricFramesSent])/queries, 2),
		In:  roundTo((c[metricFramesReceived]-before[metricFramesReceived])/queries, 2),
	}
}
