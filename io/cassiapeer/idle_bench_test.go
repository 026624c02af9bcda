package cassiapeer_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// idleTime is how long open connections are measured without traffic.
const idleTime = 5 * time.Second

// BenchmarkOpenConnections reports the memory and CPU time, of both ends together, of connections that have carried one
// frame each. Run it with -benchtime 1x.
func BenchmarkOpenConnections(b *testing.B) {
	for _, peers := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for range b.N {
				measureOpen(b, peers)
			}
		})
	}
}

func measureOpen(b *testing.B, peers int) {
	m := newMesh(b)
	entry := m.add("entry", nil)
	var names []cassiaid.VMName
	for i := range peers {
		name := cassiaid.VMName(fmt.Sprintf("owner-%d", i))
		m.add(name, answerBatch)
		names = append(names, name)
	}
	memoryBefore, timeBefore := anonymousBytes(b), cpuTime()
	for _, name := range names {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatch{ShardBatch: &cassiaschema.ShardBatch{}}}
		if _, err := entry.Exchange(context.Background(), name, frame); err != nil {
			b.Fatal(err)
		}
	}
	openCPU := cpuTime() - timeBefore
	timeBefore = cpuTime()
	time.Sleep(idleTime)
	idleCPU := cpuTime() - timeBefore
	b.ReportMetric(float64(anonymousBytes(b)-memoryBefore)/float64(peers), "B/connection")
	b.ReportMetric(float64(openCPU.Microseconds())/float64(peers), "cpu-us/open")
	b.ReportMetric(float64(idleCPU.Microseconds())/idleTime.Seconds()/float64(peers), "cpu-us/s/connection")
}

// anonymousBytes returns the resident memory of this process that is not backed by a file (RssAnon).
func anonymousBytes(b *testing.B) int64 {
	content, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); fields[0] == "RssAnon:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	b.Fatal("no RssAnon in /proc/self/status")
	return 0
}
