package cassiaclaimer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaschema"
)

// storeDelay is the simulated latency of one call to the key-value service, which answers in milliseconds.
const storeDelay = 3 * time.Millisecond

// peerDelay is the simulated round-trip time to a VM in another availability zone.
const peerDelay = 8 * time.Millisecond

// BenchmarkClaims sends claims at a fixed rate through eight VMs. Either each VM writes for itself or each bucket has
// one writer. Run it with a fixed count such as -benchtime=2000x.
func BenchmarkClaims(b *testing.B) {
	for _, writers := range []string{"each", "one"} {
		for _, rate := range []int{50, 500, 2000} {
			b.Run(fmt.Sprintf("writers=%s/rate=%d", writers, rate), func(b *testing.B) { benchmarkClaims(b, writers, rate) })
		}
	}
}

func benchmarkClaims(b *testing.B, writers string, rate int) {
	const vms = 8
	s := newMemoryStore()
	s.delay = storeDelay
	var claimers []*Claimer
	if writers == "one" {
		claimers = startMesh(b, s, vms, peerDelay, 0)
	} else {
		for range vms {
			claimers = append(claimers, start(b, s, tally.NoopScope))
		}
	}
	latency := hdrhistogram.New(1, 10_000_000, 3)
	var mutex sync.Mutex
	refused := 0
	var group errgroup.Group
	began := time.Now()
	for i := range b.N {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		group.Go(func() error {
			ctx := context.Background()
			grant, refusal := claimers[i%vms].Claim(ctx, request(newKey()))
			took := time.Since(due)
			mutex.Lock()
			defer mutex.Unlock()
			if refusal != nil {
				refused++
				return nil
			}
			grant.Finish(ctx, cassiaschema.ClaimOutcome_finished, make([]byte, 300))
			return latency.RecordValue(took.Microseconds())
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	seconds := time.Since(began).Seconds()
	s.withLock(func(m *memoryStore) {
		b.ReportMetric(float64(m.puts)/seconds, "writes/s")
		b.ReportMetric(float64(b.N)/float64(m.puts), "claims/write")
		b.ReportMetric(float64(m.conflicts)/seconds, "conflicts/s")
		b.ReportMetric(float64(m.bytes)/seconds/1e6, "MB/s")
	})
	b.ReportMetric(float64(latency.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtPercentile(99))/1000, "p99-ms")
	b.ReportMetric(float64(refused), "refused")
}
