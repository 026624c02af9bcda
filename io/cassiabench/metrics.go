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

// Counters of VMs that the bench reads.
const (
	metricFramesSent     = "cassiasaddle_peerFramesSent"
	metricFramesReceived = "cassiasaddle_peerFramesReceived"
	metricQueries        = "cassiasaddle_queryTime_count"
)

// vmCounters are the sums of some counters over VMs.
type vmCounters map[string]float64

// readCounters sums the counters of the VMs that answer.
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

// add reads counters without labels in the text format of Prometheus.
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

// peerMessages returns the messages between VMs for one query since an earlier reading, nil when it cannot be told.
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
