package cassiamember

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// network delivers packets between Memberships in memory, in the order of their arrival, with a simulated clock.
type network struct {
	now       time.Time
	random    *rand.Rand
	vms       []*vm
	byAddress map[Address]*vm
	inFlight  deliveries
	sent      int
	// cut reports whether packets from one VM to another are dropped; nil drops none.
	cut func(from, to *vm) bool
	// loss and duplicate are the probabilities that a packet is dropped or sent twice; delay returns the delay of a
	// packet.
	loss, duplicate float64
	delay           func() time.Duration
	tuning          Tuning
}

// vm is one VM on the network.
type vm struct {
	*Membership
	address        Address
	index          int
	down           bool
	nextTick       time.Time
	learnedEffects []Effect
	counts         map[Counter]int
	// bytesIn, bytesOut, packetsIn and packetsOut count datagrams with their headers.
	bytesIn, bytesOut, packetsIn, packetsOut int
	// remoteOut counts the bytes sent to other zones.
	remoteOut int
	// updateTime is the wall time spent in Update.
	updateTime time.Duration
}

// delivery is a datagram in flight.
type delivery struct {
	at       time.Time
	order    int
	from, to *vm
	encoded  []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(d[i].at.Compare(d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newNetwork(seed uint64, tuning Tuning) *network {
	return &network{
		now:       time.UnixMilli(1_800_000_000_000),
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[Address]*vm),
		delay:     defaultDelay,
		tuning:    tuning,
	}
}

// defaultDelay returns the delay of a packet when no test sets another.
func defaultDelay() time.Duration { return 4 * time.Millisecond }

func (n *network) Now() time.Time { return n.now }

// add starts a VM in a zone with the given seeds.
func (n *network) add(name string, zone int, seeds ...Seed) *vm {
	index := len(n.vms)
	v := &vm{address: Address(fmt.Sprintf("10.%d.%d.%d:7946", zone, index/250, index%250+1)), index: index, counts: map[Counter]int{}}
	v.Membership = New(Config{
		Self: Member{
			Name:          cassiaid.VMName(name),
			Region:        Region(fmt.Sprintf("region-%d", zone/4)),
			Zone:          cassiaid.Zone(fmt.Sprintf("zone-%d", zone)),
			PeerAddress:   Address(fmt.Sprintf("10.%d.%d.%d:7947", zone, index/250, index%250+1)),
			GossipAddress: v.address,
		},
		Clock:  n,
		Random: rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())),
		Tuning: n.tuning,
	})
	v.nextTick = n.now.Add(time.Duration(n.random.Int64N(int64(TickInterval))))
	n.vms = append(n.vms, v)
	n.byAddress[v.address] = v
	n.update(v, SeedList{Seeds: seeds})
	return v
}

// addAll starts VMs spread over zones, all with the same seeds.
func (n *network) addAll(count, zones int) {
	for i := range count {
		n.add(fmt.Sprintf("vm-%03d", i), i%zones)
	}
	seeds := n.seeds(count)
	for _, v := range n.vms {
		n.update(v, SeedList{Seeds: seeds})
	}
}

// seeds returns up to count running VMs.
func (n *network) seeds(count int) []Seed {
	var seeds []Seed
	for _, i := range n.random.Perm(len(n.vms)) {
		if v := n.vms[i]; !v.down && len(seeds) < count {
			seeds = append(seeds, Seed{Name: v.Self().Name, GossipAddress: v.address})
		}
	}
	return seeds
}

// disconnect removes a VM from the network without an announcement.
func (n *network) disconnect(v *vm) {
	v.down = true
	if n.byAddress[v.address] == v {
		delete(n.byAddress, v.address)
	}
}

// update passes a message to a VM and performs the effects.
func (n *network) update(v *vm, message Message) {
	began := time.Now()
	effects := v.Update(message)
	v.updateTime += time.Since(began)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendPacket:
			n.send(v, effect)
		case Count:
			v.counts[effect.Counter]++
		case QuarantineLearned, TargetLearned, PeerSettings:
			v.learnedEffects = append(v.learnedEffects, effect)
		}
	}
}

func (n *network) send(from *vm, effect SendPacket) {
	encoded, err := proto.Marshal(effect.Packet)
	if err != nil {
		panic(err)
	}
	from.packetsOut++
	from.bytesOut += len(encoded) + PacketOverhead
	to, ok := n.byAddress[effect.To]
	if ok && to.self.Zone != from.self.Zone {
		from.remoteOut += len(encoded) + PacketOverhead
	}
	if !ok || n.cut != nil && n.cut(from, to) {
		return
	}
	copies := 1
	if n.random.Float64() < n.loss {
		copies = 0
	} else if n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		n.sent++
		heap.Push(&n.inFlight, delivery{at: n.now.Add(n.delay()), order: n.sent, from: from, to: to, encoded: encoded})
	}
}

// run advances the clock.
func (n *network) run(length time.Duration) {
	n.runUntil(length, func() bool { return false })
}

// runUntil advances the clock until a condition holds at the end of a tick interval. It returns the elapsed time and
// true, or limit and false if the condition did not hold in time.
func (n *network) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := n.now
	for n.now.Sub(began) < limit {
		end := n.now.Add(TickInterval)
		n.tickAndDeliver(end)
		n.now = end
		if condition() {
			return n.now.Sub(began), true
		}
	}
	return limit, false
}

// tickAndDeliver handles all ticks and deliveries up to a time, in order.
func (n *network) tickAndDeliver(end time.Time) {
	ticking := slices.DeleteFunc(slices.Clone(n.vms), func(v *vm) bool { return v.down })
	slices.SortStableFunc(ticking, func(a, b *vm) int { return a.nextTick.Compare(b.nextTick) })
	for _, v := range ticking {
		if v.nextTick.After(end) {
			continue
		}
		n.deliver(v.nextTick)
		n.now = v.nextTick
		v.nextTick = v.nextTick.Add(TickInterval)
		n.update(v, Tick{})
	}
	n.deliver(end)
}

func (n *network) deliver(until time.Time) {
	for len(n.inFlight) > 0 && !n.inFlight[0].at.After(until) {
		d := heap.Pop(&n.inFlight).(delivery)
		n.now = d.at
		if d.to.down || n.byAddress[d.to.address] != d.to {
			continue
		}
		p := &cassiaschema.GossipPacket{}
		if err := proto.Unmarshal(d.encoded, p); err != nil {
			panic(err)
		}
		d.to.packetsIn++
		d.to.bytesIn += len(d.encoded) + PacketOverhead
		n.update(d.to, Packet{Source: d.from.address, Packet: p})
	}
}

// running returns the VMs that are not disconnected.
func (n *network) running() []*vm {
	return slices.DeleteFunc(slices.Clone(n.vms), func(v *vm) bool { return v.down })
}

// agree reports whether each VM of a group knows exactly the group's VMs, with their own incarnations, states and
// addresses.
func agree(group []*vm) bool {
	for _, v := range group {
		if v.digest != group[0].digest {
			return false
		}
	}
	for _, v := range group {
		if len(v.local.names)+len(v.remote.names) != len(group)-1 {
			return false
		}
		for _, other := range group {
			if other == v {
				continue
			}
			r, ok := v.members[other.self.Name]
			if !ok || r.Incarnation != other.self.Incarnation || r.State != other.self.State || r.GossipAddress != other.address {
				return false
			}
		}
	}
	return true
}
