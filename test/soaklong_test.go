package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/platform/cassiastage"
	"cassiasaddle/standin/cassialistener"
	"cassiasaddle/standin/cassiarelay"
)

const (
	// soakLongService is the service that gets long requests. Its targets answer before they have read them, and break off some of the
	// answers by a reset.
	soakLongService   = "long"
	soakLongRoute     = "/long/"
	soakLongTargets   = 4
	soakLongCallers   = 2
	soakLongBodyBytes = 250_000
	soakMaxLongPause  = 60 * time.Millisecond
	// soakBrokenEach is how many answers there are for each that is broken off.
	soakBrokenEach = 4
	// soakLongStream is the random stream of the callers of the service, soakLongReplyStream that of soakLongReplyFaults.
	soakLongStream      = 1 << 36
	soakLongReplyStream = 1<<32 + 3
	// soakMaxLongReplyPause is the longest pause between two of soakLongReplyFaults.
	soakMaxLongReplyPause = 6 * time.Second
	// Entries of soakLongEntryBytes each, which together are longer than a VM accepts as one reply of the store.
	soakLongEntries    = 40
	soakLongEntryBytes = 150_000
)

// soakBeforeLong lists seeds that failed before long requests and long replies of the store were added, and run without them.
var soakBeforeLong = []uint64{390001}

// soakLongReplyFaults have a VM that was cut off from the store miss more changes than one reply may hold.
var soakLongReplyFaults = []soakFault{
	{"storeLink", func(s *soak, random *rand.Rand) (string, func()) {
		vm := s.anyVM(random)
		vm.store.SetFaults(cassiarelay.Faults{Cut: true})
		for i := range soakLongEntries {
			s.store.Put(fmt.Sprintf("servers/without-address-%d", i), map[string]any{"filler": strings.Repeat("x", soakLongEntryBytes)})
		}
		return vm.name, func() { vm.store.SetFaults(cassiarelay.Faults{}) }
	}},
}

// playsLong reports whether the run has long requests and long replies of the store.
func (s *soak) playsLong() bool { return s.playsLater() && !slices.Contains(soakBeforeLong, s.seed) }

// addLongService adds the targets of the long service. Relays on the way to them would take in whole requests.
func (s *soak) addLongService() {
	s.maxBodyBytes = soakLongBodyBytes
	for i := range soakLongTargets {
		listener, err := cassialistener.ListenSmallWindows()
		s.c.Assert(err, qt.IsNil)
		target := cassiastage.NewTargetAt(listener, fmt.Sprintf("t-long-%d", i), soakLongService, []byte("the whole answer"))
		s.t.Cleanup(target.Close)
		target.SetBehaviour(cassiastage.Behaviour{Early: true, Truncate: cassiastage.FramedByClose, TruncateEach: soakBrokenEach})
		s.longAddresses = append(s.longAddresses, target.Address())
		s.store.Put("servers/"+target.Name, target.Entry([]string{"zone-a", "zone-b"}[i%2], "ready", 1))
	}
}

// startLongCallers starts the callers of the long service. Their answers have to be whole or failures.
func (s *soak) startLongCallers(stop <-chan struct{}) {
	body := strings.Repeat("x", soakLongBodyBytes)
	for i := range soakLongCallers {
		random := rand.New(rand.NewPCG(s.seed, soakLongStream+uint64(i)))
		s.startCaller(stop, random, soakMaxLongPause, func(vm *soakVM, lifetime int) {
			s.callOnce(vm, lifetime, http.MethodPost, soakLongRoute+"x", body)
		})
	}
}
