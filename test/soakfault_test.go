package test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cassiasaddle/platform/cassiastage"
	"cassiasaddle/standin/cassiarelay"
)

// disturbance is the record of one fault or planned change and of what it affected.
type disturbance struct {
	kind string
	// affected is the name of a VM or of a target's service, or empty if everything is affected.
	affected string
	from, to time.Duration
}

// drain records how many requests a target got later than soakMaxDrainDelay after it announced that it drains.
type drain struct {
	target   string
	from, to time.Duration
	late     int
}

// soakFault is a kind of fault or planned change.
type soakFault struct {
	kind string
	// begin begins the fault. It returns the affected VM or service, or "" if it is not a single one, and a function that ends
	// the fault.
	begin func(s *soak, random *rand.Rand) (affected string, end func())
}

// soakFaults are selected at random with equal probability. Kinds that are listed several times are more frequent.
var soakFaults = []soakFault{
	{"kill", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		if !vm.tryAcquire() {
			return vm.name, vm.release
		}
		vm.terminate(syscall.SIGKILL)
		return vm.name, func() { s.startVM(vm); vm.release() }
	}},
	{"pause", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		if !vm.tryAcquire() {
			return vm.name, vm.release
		}
		process := vm.process
		process.signal(syscall.SIGSTOP)
		return vm.name, func() { process.signal(syscall.SIGCONT); vm.release() }
	}},
	{"stop", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		if !vm.tryAcquire() {
			return vm.name, vm.release
		}
		return vm.name, func() { vm.terminate(syscall.SIGTERM); s.startVM(vm); vm.release() }
	}},
	{"storeDown", func(s *soak, _ *rand.Rand) (string, func()) {
		s.store.SetFaults(cassiastage.Faults{Busy: true})
		return "", func() { s.store.SetFaults(cassiastage.Faults{}) }
	}},
	{"storeLosesReplies", func(s *soak, _ *rand.Rand) (string, func()) {
		s.store.SetFaults(cassiastage.Faults{LoseReplies: true})
		return "", func() { s.store.SetFaults(cassiastage.Faults{}) }
	}},
	{"storeRestored", func(s *soak, _ *rand.Rand) (string, func()) {
		s.store.Copy()
		return "", func() { s.store.Restore() }
	}},
	{"storeForgets", func(s *soak, _ *rand.Rand) (string, func()) { s.store.Compact(); return "", func() {} }},
	{"storeLink", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		vm.store.SetFaults(linkFaults(random, 200))
		return vm.name, func() { vm.store.SetFaults(cassiarelay.Faults{}) }
	}},
	{"peerLink", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		vm.peers.SetFaults(linkFaults(random, 20))
		return vm.name, func() { vm.peers.SetFaults(cassiarelay.Faults{}) }
	}},
	{"targetLink", func(s *soak, random *rand.Rand) (string, func()) {
		r := s.anyReplica(random)
		r.relay.SetFaults(linkFaults(random, 50))
		return r.Service, func() { r.relay.SetFaults(cassiarelay.Faults{}) }
	}},
	{"targetLinks", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		vm.links.setFaults(cassiarelay.Faults{Cut: true})
		return vm.name, func() { vm.links.setFaults(cassiarelay.Faults{}) }
	}},
	{"targetFails", failTarget},
	{"targetFails", failTarget},
	{"targetFails", failTarget},
	{"targetLapses", func(s *soak, random *rand.Rand) (string, func()) {
		r := s.anyReplica(random)
		if !r.tryAcquire() {
			return r.Service, r.release
		}
		s.store.Delete("servers/" + r.Name)
		return r.Service, func() { s.register(r, "ready"); r.release() }
	}},
	{"targetDrains", func(s *soak, random *rand.Rand) (string, func()) {
		r := s.anyReplica(random)
		if !r.tryAcquire() {
			return r.Service, r.release
		}
		s.register(r, "draining")
		announcedAt := time.Since(s.start)
		return r.Service, func() { s.endDrain(r, announcedAt); r.release() }
	}},
	{"configuration", func(s *soak, _ *rand.Rand) (string, func()) { s.putNextVersion(); return "", func() {} }},
	{"configuration", func(s *soak, _ *rand.Rand) (string, func()) { s.putNextVersion(); return "", func() {} }},
}

// soakPressureFaults call for more retries than the retry budget allows, and meanwhile restart VMs and remove them from the list.
var soakPressureFaults = []soakFault{
	{"targetFails", failService},
	{"targetFails", failService},
	{"kill", func(s *soak, _ *rand.Rand) (string, func()) {
		var ended []*soakVM
		for _, vm := range s.vms {
			if vm.tryAcquire() {
				vm.terminate(syscall.SIGKILL)
				ended = append(ended, vm)
			}
		}
		return "", func() {
			for _, vm := range ended {
				s.startVM(vm)
			}
			for _, vm := range s.vms {
				vm.release()
			}
		}
	}},
	{"unlist", func(s *soak, _ *rand.Rand) (string, func()) {
		for _, vm := range s.vms {
			s.store.Delete("vms/" + vm.name)
		}
		return "", func() {}
	}},
}

// soakSilentFaults have connections accepted on the way to targets, which stay silent.
var soakSilentFaults = []soakFault{
	{"targetLinks", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		vm.links.setFaults(cassiarelay.Faults{HalfOpen: true})
		return vm.name, func() { vm.links.setFaults(cassiarelay.Faults{}) }
	}},
}

// failService makes all targets of a service fail in the same way.
func failService(s *soak, random *rand.Rand) (string, func()) {
	service := s.anyReplica(random).Service
	failure := []cassiastage.Behaviour{{Drop: true}, {Shed: true}, {Status: 500}}[random.IntN(3)]
	for _, r := range s.replicas {
		if r.Service == service {
			r.SetBehaviour(failure)
		}
	}
	return service, func() {
		for _, r := range s.replicas {
			if r.Service == service {
				r.SetBehaviour(r.defaultBehaviour())
			}
		}
	}
}

// failTarget makes a target refuse requests, or answer wrongly, late or not at all.
func failTarget(s *soak, random *rand.Rand) (string, func()) {
	r := s.anyReplica(random)
	failures := []cassiastage.Behaviour{{Drop: true}, {Silent: true}, {Truncate: cassiastage.FramedByLength}, {Extra: true}, {Shed: true}, {Status: 500},
		{Status: 503}, {Work: 150 * time.Millisecond},
		{Endless: cassiastage.Head}, {Endless: cassiastage.Body}}
	r.SetBehaviour(failures[random.IntN(len(failures))])
	return r.Service, func() { r.SetBehaviour(r.defaultBehaviour()) }
}

// endDrain counts the requests that a replica still gets after soakMaxDrainDelay, and registers it as ready again.
func (s *soak) endDrain(r *soakReplica, announcedAt time.Duration) {
	sleep(announcedAt + soakMaxDrainDelay - time.Since(s.start))
	before := len(r.Runs())
	sleep(time.Second)
	d := drain{target: r.Name, from: announcedAt, to: time.Since(s.start), late: len(r.Runs()) - before}
	s.mutex.Lock()
	s.drains = append(s.drains, d)
	s.mutex.Unlock()
	s.register(r, "ready")
}

// faultLock lets one fault at a time act on a VM or a replica.
type faultLock struct{ count atomic.Int32 }

// tryAcquire returns false if another fault holds the lock. The caller must call release in either case.
func (l *faultLock) tryAcquire() bool { return l.count.Add(1) == 1 }

func (l *faultLock) release() { l.count.Add(-1) }

// linkFaults returns random faults of a link. A delay is at most maxDelayMs, plus as much jitter.
func linkFaults(random *rand.Rand, maxDelayMs float64) cassiarelay.Faults {
	return []cassiarelay.Faults{{Cut: true}, {HalfOpen: true}, {SwallowReplies: true}, {Loss: 0.2},
		{DelayMs: maxDelayMs * random.Float64(), JitterMs: maxDelayMs}}[random.IntN(5)]
}

func (s *soak) anyVM(random *rand.Rand) *soakVM { return s.vms[random.IntN(len(s.vms))] }

// anyReplica selects a replica at random. The single service, which serves the requests that are not idempotent, is selected as
// often as all shards together.
func (s *soak) anyReplica(random *rand.Rand) *soakReplica {
	singles := 2
	if shards := len(s.replicas) - singles; random.Float64() < 0.5 {
		return s.replicas[random.IntN(shards)]
	}
	return s.replicas[len(s.replicas)-1-random.IntN(singles)]
}

// Maximum pauses between faults and maximum duration of a fault.
const (
	soakMaxPause         = 400 * time.Millisecond
	soakMaxPressurePause = 1500 * time.Millisecond
	soakMaxSilentPause   = 4 * time.Second
	soakMaxFaultDuration = 2500 * time.Millisecond
)

// injectFaults begins random faults one after the other for the duration of -soak.for. They may overlap.
func (s *soak) injectFaults(random *rand.Rand, faults []soakFault, maxPause time.Duration) {
	end := time.Now().Add(*soakFor)
	for time.Now().Before(end) {
		sleep(time.Duration(random.Float64() * float64(maxPause)))
		fault := faults[random.IntN(len(faults))]
		if s.plannedOnly && strings.Contains(vmFaults+storeFaults, fault.kind) && fault.kind != "stop" {
			continue
		}
		duration := time.Duration((0.1 + 0.9*random.Float64()) * float64(soakMaxFaultDuration))
		from := time.Since(s.start)
		affected, endFault := fault.begin(s, random)
		// Until the fault has ended, its end counts as an hour from the start, later than all requests.
		number := s.recordDisturbance(disturbance{kind: fault.kind, affected: affected, from: from, to: time.Hour})
		s.faults.Go(func() error {
			sleep(duration)
			endFault()
			s.endDisturbance(number)
			return nil
		})
	}
}

func (s *soak) recordDisturbance(d disturbance) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbances = append(s.disturbances, d)
	return len(s.disturbances) - 1
}

// endDisturbance records that a disturbance has ended.
func (s *soak) endDisturbance(number int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbances[number].to = time.Since(s.start)
}

// undisturbed reports whether no disturbance of the given kinds affected a VM or a service within a time span. An empty name
// matches any.
func (s *soak) undisturbed(name string, from, to time.Duration, kinds string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, d := range s.disturbances {
		affected := d.affected == "" || name == "" || d.affected == name
		if affected && strings.Contains(kinds, d.kind) && d.from < to && from < d.to {
			return false
		}
	}
	return true
}

// history returns a listing of the disturbances.
func (s *soak) history() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%d VMs, %d connections per target\n", len(s.vms), s.maxConnections)
	for _, d := range s.disturbances {
		fmt.Fprintf(&b, "%8.3f to %8.3f s %s %s\n", d.from.Seconds(), d.to.Seconds(), d.kind, d.affected)
	}
	return b.String()
}
