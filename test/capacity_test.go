package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

const (
	capacityZones = 4
	// settleTime is the wait between the start of the VMs and a measurement, which must not include the work of the start.
	settleTime = 10 * time.Second
	// idleTime is the duration of a measurement of VMs without queries.
	idleTime = 20 * time.Second
	// clockTicksPerSecond converts the processor time in /proc, which is in clock ticks, to seconds.
	clockTicksPerSecond = 100
)

// BenchmarkIdleVMs runs VMs as processes without queries and reports the cost of the control plane: for each VM its private
// memory, processor time, and bytes and packets of gossip, and the calls of all VMs to the platform. Run it with
// -benchtime 1x.
func BenchmarkIdleVMs(b *testing.B) {
	for _, vms := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for range b.N {
				measureIdle(b, vms, 8)
			}
		})
	}
}

// BenchmarkIdleTargets reports the same as BenchmarkIdleVMs by the number of shards, each of which has two targets. With more
// VMs in a zone, each VM owns fewer targets, but keeps the state of the same number of targets.
func BenchmarkIdleTargets(b *testing.B) {
	for _, size := range []struct{ vms, shards int }{{4, 8}, {4, 100}, {4, 400}, {16, 400}, {32, 400}} {
		b.Run(fmt.Sprintf("vms=%d/shards=%d", size.vms, size.shards), func(b *testing.B) {
			for range b.N {
				measureIdle(b, size.vms, size.shards)
			}
		})
	}
}

func measureIdle(b *testing.B, vms, shards int) {
	l := layout{vmsPerZone: vms / capacityZones, logLevel: "info"}
	for i := range capacityZones {
		l.zones = append(l.zones, fmt.Sprintf("zone-%d", i))
	}
	l.fronts = append(l.fronts, newFront("search", shards, l.zones))
	c := startCluster(b, l)
	time.Sleep(settleTime)
	before, callsBefore := c.usage(), c.platformCalls()
	time.Sleep(idleTime)
	after, callsAfter := c.usage(), c.platformCalls()
	vmSeconds := float64(vms) * idleTime.Seconds()
	b.ReportMetric(float64(after.ticks-before.ticks)/clockTicksPerSecond*1e6/vmSeconds, "cpu-us/s")
	b.ReportMetric(float64(after.anonymousKB)/float64(vms), "anonymousKB/VM")
	b.ReportMetric(float64(after.residentKB)/float64(vms), "residentKB/VM")
	b.ReportMetric((after.bytesSent-before.bytesSent)/vmSeconds, "gossipB/s")
	b.ReportMetric((after.packetsSent-before.packetsSent)/vmSeconds, "gossipPackets/s")
	b.ReportMetric(float64(callsAfter-callsBefore)/idleTime.Seconds(), "platformCalls/s")
	for _, v := range c.vms {
		v.process.signal(syscall.SIGKILL)
	}
}

// usage is what all VMs of a cluster together have used since they started, and the memory that they use now.
type usage struct {
	ticks, anonymousKB, residentKB int64
	bytesSent, packetsSent         float64
}

func (c *cluster) usage() usage {
	var sum usage
	for _, v := range c.vms {
		pid := v.process.command.Process.Pid
		stat := strings.Fields(afterLast(readProc(c.t, pid, "stat"), ") "))
		sum.ticks += parseInt(c.t, stat[11]) + parseInt(c.t, stat[12])
		for line := range strings.Lines(readProc(c.t, pid, "status")) {
			fields := strings.Fields(line)
			switch fields[0] {
			case "RssAnon:":
				sum.anonymousKB += parseInt(c.t, fields[1])
			case "VmRSS:":
				sum.residentKB += parseInt(c.t, fields[1])
			}
		}
		sum.bytesSent += c.metricSum(v, "cassiasaddle_gossip_bytesSent")
		sum.packetsSent += c.metricSum(v, "cassiasaddle_gossip_packetsSent")
	}
	return sum
}

func afterLast(text, mark string) string { return text[strings.LastIndex(text, mark)+len(mark):] }

func readProc(t testing.TB, pid int, file string) string {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	qt.Assert(t, err, qt.IsNil)
	return string(content)
}

func parseInt(t testing.TB, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	qt.Assert(t, err, qt.IsNil)
	return n
}

// metricSum returns the sum of a VM's counters with a name, over all labels.
func (c *cluster) metricSum(v *vm, name string) float64 {
	_, body := c.tryGet("http://" + v.operatorAddress + "/metrics")
	sum := 0.0
	for line := range strings.Lines(string(body)) {
		fields := strings.Fields(line)
		if len(fields) == 2 && (fields[0] == name || strings.HasPrefix(fields[0], name+"{")) {
			value, err := strconv.ParseFloat(fields[1], 64)
			qt.Assert(c.t, err, qt.IsNil)
			sum += value
		}
	}
	return sum
}

// platformCalls returns the number of calls that the platform has received.
func (c *cluster) platformCalls() int64 {
	status, body := c.tryGet("http://" + c.platform + "/standin/counters")
	qt.Assert(c.t, status, qt.Equals, http.StatusOK)
	var counters map[string]int64
	qt.Assert(c.t, json.Unmarshal(body, &counters), qt.IsNil)
	var sum int64
	for _, n := range counters {
		sum += n
	}
	return sum
}

// BenchmarkQueryVMs reports the processor time per query of all VMs together, including the control plane, by the number of
// shards. Run it with -benchtime 1x.
func BenchmarkQueryVMs(b *testing.B) {
	for _, shards := range []int{1, 19, 38, 76} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			for range b.N {
				measureQueries(b, shards)
			}
		})
	}
}

const (
	queryCallers           = 8
	queriesPerCaller       = 150
	warmUpQueriesPerCaller = 50
)

func measureQueries(b *testing.B, shards int) {
	zones := []string{"zone-0", "zone-1", "zone-2", "zone-3"}
	c := startCluster(b, layout{zones: zones, vmsPerZone: 1, fronts: []*cassiaschema.Front{newFront("search", shards, zones)},
		behaviour: `{"medianMs":1,"slots":64,"maxConnections":1000}`, logLevel: "info"})
	c.runQueries(b, warmUpQueriesPerCaller)
	before, began := c.usage(), time.Now()
	covered := c.runQueries(b, queriesPerCaller)
	after, length := c.usage(), time.Since(began)
	cpuMicros := float64(after.ticks-before.ticks) / clockTicksPerSecond * 1e6
	queries := float64(queryCallers * queriesPerCaller)
	b.ReportMetric(cpuMicros/queries, "cpu-us/query")
	b.ReportMetric(queries/length.Seconds(), "queries/s")
	b.ReportMetric(covered/queries, "coverage")
	b.ReportMetric(float64(after.anonymousKB)/float64(len(c.vms)), "anonymousKB/VM")
	for _, v := range c.vms {
		v.process.signal(syscall.SIGKILL)
	}
}

// runQueries runs queryCallers callers concurrently, each of which sends its queries one after the other, and returns the
// sum of the answers' coverage.
func (c *cluster) runQueries(b *testing.B, queriesPerCaller int) float64 {
	var group errgroup.Group
	var covered atomic.Int64
	for i := range queryCallers {
		group.Go(func() error {
			for q := range queriesPerCaller {
				a, err := tryQuery(c.vms[i%len(c.vms)], "search", fmt.Sprintf(`{"q":"%d-%d"}`, i, q))
				if err != nil {
					return err
				}
				covered.Add(int64(1000 * a.Coverage.Fraction))
			}
			return nil
		})
	}
	qt.Assert(b, group.Wait(), qt.IsNil)
	return float64(covered.Load()) / 1000
}
