package cassiamember

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// Rates of an ordinary day at the full size of the cluster.
const (
	fullClusterSize  = 590
	zoneCount        = 8
	failuresPerDay   = 22
	restartsPerDay   = 580
	measuredDuration = 10 * time.Minute
	secondsPerDay    = 24 * 60 * 60
)

// BenchmarkMembership runs memberships on an in-memory network. It reports for each VM the bytes sent and received
// (with IP, UDP and seal), the packets sent, the time spent in Update and the heap, on an ordinary day and through the
// loss of a zone, and the time until a change is known on all VMs. Run it with -benchtime 1x.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{8, 64, 128, 256, fullClusterSize} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				measure(b, size, Tuning{})
			}
		})
	}
}

// BenchmarkMembershipWays compares tunings of the protocol at one size.
func BenchmarkMembershipWays(b *testing.B) {
	const size = 128
	for name, tuning := range map[string]Tuning{
		"default":             {},
		"pushFanout=1":        {PushFanout: 1},
		"pushFanout=8":        {PushFanout: 8},
		"remoteProbePeriod=1": {RemoteProbePeriod: 1},
		"remoteProbePeriod=2": {RemoteProbePeriod: 2},
		"remoteProbePeriod=8": {RemoteProbePeriod: 8},
		"burstBytes=16KB":     {BurstBytes: 16 << 10},
		"retransmitFactor=1":  {RetransmitFactor: 1},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measure(b, size, tuning)
			}
		})
	}
}

func measure(b *testing.B, size int, tuning Tuning) {
	before := heapBytes()
	n := newNetwork(uint64(size), tuning)
	n.addAll(size, zoneCount)
	coldStart, _ := n.runUntil(10*time.Minute, func() bool { return agree(n.vms) })
	b.ReportMetric(coldStart.Seconds(), "s-coldStart")
	n.run(time.Minute)
	b.ReportMetric((heapBytes()-before)/float64(size), "heapB/VM")
	measureJoin(b, n)
	measureDay(b, n)
	measurePropagation(b, n)
	measureZoneLoss(b, n)
}

// measureJoin reports how long it takes until one more VM is in the view of all VMs.
func measureJoin(b *testing.B, n *network) {
	n.add("joiner", 1, n.seeds(fullClusterSize)...)
	took, _ := n.runUntil(5*time.Minute, func() bool { return agree(n.running()) })
	b.ReportMetric(took.Seconds(), "s-joined")
}

// measureDay simulates failures and restarts at the rate of an ordinary day, scaled to the number of VMs.
func measureDay(b *testing.B, n *network) {
	size := len(n.running())
	interval := time.Duration(float64(secondsPerDay*time.Second) * fullClusterSize / float64((failuresPerDay+restartsPerDay)*size))
	n.resetTraffic()
	began := n.now
	for next := began; n.now.Sub(began) < measuredDuration; n.run(time.Second) {
		if !n.now.Before(next) {
			next = next.Add(interval)
			n.restart(n.running()[n.random.IntN(size)])
		}
	}
	n.report(b, "", n.now.Sub(began))
}

// restart stops a VM in a planned way and starts it again under its name.
func (n *network) restart(v *vm) {
	n.update(v, Leave{})
	n.run(2 * time.Second)
	n.update(v, Stop{})
	n.disconnect(v)
	n.run(2 * time.Second)
	n.add(string(v.Self().Name), v.index%zoneCount, n.seeds(fullClusterSize)...)
}

// measurePropagation reports how long it takes until a failure, a leave and a quarantine are known on all VMs.
func measurePropagation(b *testing.B, n *network) {
	n.run(time.Minute)
	running := n.running()
	failed := running[3]
	n.disconnect(failed)
	took, _ := n.runUntil(5*time.Minute, func() bool { return agree(n.running()) })
	b.ReportMetric(took.Seconds(), "s-failureKnown")
	n.run(time.Minute)
	leaving := running[5]
	n.update(leaving, Leave{})
	took, _ = n.runUntil(5*time.Minute, func() bool { return agree(n.running()) })
	b.ReportMetric(took.Seconds(), "s-leaveKnown")
	n.run(time.Minute)
	n.update(running[6], QuarantineAdded{Fingerprint: 7, Remaining: time.Hour})
	took, _ = n.runUntil(5*time.Minute, func() bool {
		for _, v := range n.running() {
			if len(v.quarantines.notices) == 0 {
				return false
			}
		}
		return true
	})
	b.ReportMetric(took.Seconds(), "s-quarantineKnown")
}

// measureZoneLoss cuts one zone off until a minute after the other VMs agree, then heals the cut.
func measureZoneLoss(b *testing.B, n *network) {
	n.run(time.Minute)
	n.resetTraffic()
	inCutZone := func(v *vm) bool { return v.index%zoneCount == 0 }
	rest := slices.DeleteFunc(n.running(), inCutZone)
	n.cut = func(from, to *vm) bool { return inCutZone(from) != inCutZone(to) }
	took, _ := n.runUntil(5*time.Minute, func() bool { return agree(rest) })
	b.ReportMetric(took.Seconds(), "s-zoneLossKnown")
	n.run(time.Minute)
	n.report(b, "Cut", took+time.Minute)
	n.resetTraffic()
	n.cut = nil
	took, _ = n.runUntil(10*time.Minute, func() bool { return agree(n.running()) })
	b.ReportMetric(took.Seconds(), "s-zoneHealed")
	n.report(b, "Heal", took)
}

// report reports the mean of all VMs and the largest value of one VM.
func (n *network) report(b *testing.B, phase string, length time.Duration) {
	var sent, received, packets, remote, mostSent, mostReceived, updateNanos float64
	running := n.running()
	for _, v := range running {
		sent += float64(v.bytesOut)
		received += float64(v.bytesIn)
		packets += float64(v.packetsOut)
		remote += float64(v.remoteOut)
		updateNanos += float64(v.updateTime.Nanoseconds())
		mostSent, mostReceived = max(mostSent, float64(v.bytesOut)), max(mostReceived, float64(v.bytesIn))
	}
	vmSeconds := float64(len(running)) * length.Seconds()
	b.ReportMetric(sent/vmSeconds, "sentB/s"+phase)
	b.ReportMetric(received/vmSeconds, "receivedB/s"+phase)
	b.ReportMetric(mostSent/length.Seconds(), "mostSentB/s"+phase)
	b.ReportMetric(mostReceived/length.Seconds(), "mostReceivedB/s"+phase)
	b.ReportMetric(packets/vmSeconds, "packets/s"+phase)
	b.ReportMetric(remote/sent, "crossZone"+phase)
	b.ReportMetric(updateNanos/vmSeconds, "busyNs/s"+phase)
}

func (n *network) resetTraffic() {
	for _, v := range n.vms {
		v.bytesIn, v.bytesOut, v.packetsIn, v.packetsOut, v.remoteOut, v.updateTime = 0, 0, 0, 0, 0, 0
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
