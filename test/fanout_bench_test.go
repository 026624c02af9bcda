package test

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiarecord"
	"cassiasaddle/platform/cassiastage"
)

const (
	fanOutZones           = 3
	fanOutReplicas        = 3
	fanOutCallers         = 4
	fanOutsPerCaller      = 150
	fanOutWarmUp          = 25
	fanOutPartRecords     = 25
	fanOutScarce          = 8
	fanOutInterval        = 20 * time.Millisecond
	fanOutTimeout         = 2000
	fanOutDesiredLatency  = 500
	fanOutTargetWork      = 5 * time.Millisecond
	fanOutMinServed       = 0.95
	fanOutMicrosPerSecond = 1e6
)

// BenchmarkFanOut reports the processor time per fan-out and per shard of all VMs together, for shards of three targets in as many
// availability zones. Where connections are scarce, one VM of a zone sends to a target for all VMs. Run it with -benchtime 1x.
func BenchmarkFanOut(b *testing.B) {
	for _, size := range []struct{ vms, shards, connections int }{{6, 20, 0}, {12, 90, fanOutScarce}, {12, 135, fanOutScarce}} {
		b.Run(fmt.Sprintf("vms=%d/shards=%d/scarce=%t", size.vms, size.shards, size.connections > 0), func(b *testing.B) {
			for range b.N {
				measureFanOuts(b, size.vms, size.shards, size.connections)
			}
		})
	}
}

func measureFanOuts(b *testing.B, vms, shards, connections int) {
	e := &platformEnv{c: qt.New(b), store: cassiastage.NewStore(), shardConnections: connections}
	e.serveStore(b)
	var gathered []string
	var services []map[string]any
	for shard := range shards {
		name := fmt.Sprintf("part-%03d", shard)
		gathered = append(gathered, name)
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": cmp.Or(connections, 26)})
		for replica := range fanOutReplicas {
			part := bytes.Repeat([]byte{byte(shard), byte(replica), 7, 9}, fanOutPartRecords*cassiarecord.RecordSize/4)
			target := cassiastage.NewTarget(fmt.Sprintf("t-%s-%d", name, replica), name, part)
			target.SetBehaviour(cassiastage.Behaviour{Work: fanOutTargetWork})
			b.Cleanup(target.Close)
			e.store.Put("servers/"+target.Name, target.Entry(fmt.Sprintf("zone-%d", replica%fanOutZones), "ready", 1))
		}
	}
	search := map[string]any{"name": "search", "host": envHost, "prefix": "/search/", "route_type": "idempotent", "timeout_ms": fanOutTimeout,
		"target_latency_ms": fanOutDesiredLatency, "priority": 1, "gather": gathered, "max_attempts": 2, "top_k": 20, "min_coverage": 0.9}
	e.store.Put("op/config", map[string]any{"version": 3, "routes": []any{search}, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	fleet := e.launchFleet(b, vms)
	e.sendFanOuts(fleet, fanOutWarmUp)
	before, began := processorSeconds(b, fleet), time.Now()
	served, covered, latency := e.sendFanOuts(fleet, fanOutsPerCaller)
	spent, length := processorSeconds(b, fleet)-before, time.Since(began)
	fanOuts := float64(fanOutCallers * fanOutsPerCaller)
	b.ReportMetric(spent*fanOutMicrosPerSecond/fanOuts, "cpu-us/fanout")
	b.ReportMetric(spent*fanOutMicrosPerSecond/fanOuts/float64(shards), "cpu-us/shard")
	b.ReportMetric(fanOuts/length.Seconds(), "fanouts/s")
	b.ReportMetric(covered/float64(shards)/fanOuts, "coverage")
	b.ReportMetric(latency.Seconds()*1e3/fanOuts, "ms/fanout")
	e.c.Check(float64(served) >= fanOutMinServed*fanOuts, qt.IsTrue, qt.Commentf("%d of %.0f were served", served, fanOuts))
	for _, vm := range fleet {
		vm.process.signal(syscall.SIGTERM)
	}
	for _, vm := range fleet {
		<-vm.process.exited
	}
}

// launchFleet starts VMs, in the zones of the targets in turn, and waits until each lists all others.
func (s *platformEnv) launchFleet(b *testing.B, vms int) []*frontVM {
	var fleet []*frontVM
	for i := range vms {
		ports := frontPorts{ip: envIP, callers: freePort(b), readiness: freePort(b), peers: freePort(b)}
		fleet = append(fleet, s.launchAt(b, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%fanOutZones), ports))
	}
	for _, vm := range fleet {
		s.eventually(vm.isReady, "a VM is not ready")
		s.eventually(func() bool {
			return strings.Contains(vm.process.output.String(), fmt.Sprintf("event=fleetChanged vms=%d", vms))
		}, "a VM does not list all others")
	}
	return fleet
}

// sendFanOuts has callers send fan-outs to the VMs in turn. It returns how many were served, how many shards they covered, and the sum
// of their times.
func (s *platformEnv) sendFanOuts(fleet []*frontVM, perCaller int) (served int, covered float64, total time.Duration) {
	results := make(chan crashCall, fanOutCallers*perCaller)
	var callers errgroup.Group
	for caller := range fanOutCallers {
		callers.Go(func() error {
			for i := range perCaller {
				from := time.Now()
				answer, _, err := s.do(fleet[(caller+i*fanOutCallers)%len(fleet)], http.MethodGet, "/search/x", "")
				call := crashCall{took: time.Since(from), status: answer.status, err: err}
				if call.served() {
					call.retry = answer.header.Get("X-Cassiasaddle-Part-Stamps")
				}
				results <- call
				sleep(fanOutInterval)
			}
			return nil
		})
	}
	callers.Wait() //nolint:errcheck // they return no error
	close(results)
	for r := range results {
		total += r.took
		if r.served() {
			served++
			covered += float64(strings.Count(r.retry, ",") + 1)
		}
	}
	return served, covered, total
}

// processorSeconds returns the processor time that the VMs have used since they started.
func processorSeconds(b *testing.B, fleet []*frontVM) float64 {
	var ticks int64
	for _, vm := range fleet {
		stat := strings.Fields(afterLast(readProc(b, vm.process.command.Process.Pid, "stat"), ") "))
		ticks += parseInt(b, stat[11]) + parseInt(b, stat[12])
	}
	return float64(ticks) / clockTicksPerSecond
}
