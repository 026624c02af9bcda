package test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"cassiasaddle/platform/cassiastage"
)

const (
	// soakFragileService is the service whose targets crash when they run a request with deadlyBody.
	soakFragileService = "fragile"
	soakFragileRoute   = "/fragile/"
	// soakFragileTargets is the number of its targets.
	soakFragileTargets = 6
	// soakDeadlyTail is how long the deadly request is repeated after all faults have ended. It is longer than crashContact, after
	// which every VM has to refuse it.
	soakDeadlyTail = 7 * time.Second
	// soakMaxDeadlyPause is the longest pause between two repeats.
	soakMaxDeadlyPause = 600 * time.Millisecond
	// soakDeadlyAddresses is the number of addresses that the caller of the deadly request uses at random in half of the seeds.
	soakDeadlyAddresses = 40
	// soakDeadlyStream is the random stream of the callers of the fragile service.
	soakDeadlyStream = 1 << 33
)

// addFragileService adds the fragile service. Its route is idempotent in half of the seeds.
func (s *soak) addFragileService() {
	behaviour := cassiastage.Behaviour{Work: 10 * time.Millisecond,
		Deadly: func(_ *http.Request, body []byte) bool { return string(body) == deadlyBody }}
	s.fragile = cassiastage.NewSupervisor(s.store, soakFragileService, []byte("the whole answer"), behaviour,
		slices.Repeat([]string{"zone-a", "zone-b"}, soakFragileTargets/2)...)
	s.t.Cleanup(s.fragile.Close)
}

func (s *soak) fragileRoute() map[string]any {
	kind := "idempotent"
	if s.seed%4 < 2 {
		kind = "non_idempotent"
	}
	return routeConfig(soakFragileRoute, kind, soakFragileService)
}

// startFragileCallers starts a caller that repeats the deadly request and one with harmless requests, at random VMs, until stop
// is closed.
func (s *soak) startFragileCallers(stop <-chan struct{}) {
	for i, body := range []string{deadlyBody, "harmless"} {
		random := rand.New(rand.NewPCG(s.seed, soakDeadlyStream+uint64(i)))
		transports := []http.RoundTripper{s.transport}
		if body == deadlyBody && s.seed%8 < 4 {
			transports = s.transportsFrom(soakDeadlyAddresses, func(i int) string { return s.host(hostOfCaller, i+1) })
		}
		s.startCaller(stop, random, soakMaxDeadlyPause, func(vm *soakVM, lifetime int) {
			transport := transports[random.IntN(len(transports))]
			s.callThrough(transport, vm, lifetime, http.MethodPost, soakFragileRoute+"x", body)
		})
	}
}

// checkDeadly requires that VMs that are not disturbed send the deadly request in at most crashRepeats requests later than
// crashContact after it has crashed crashesBeforeContact targets.
func (s *soak) checkDeadly() {
	var crashes []time.Time
	reached := make(map[string]bool)
	for _, target := range s.fragile.All() {
		if c := target.Crashes(); len(c) > 0 {
			crashes = append(crashes, c[0].At)
		}
		for _, a := range target.Arrivals() {
			reached[a.Request] = true
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late, sent := 0, 0
	for _, r := range s.requests {
		if !strings.HasPrefix(r.path, soakFragileRoute) || r.body != deadlyBody {
			continue
		}
		sent++
		at := s.start.Add(r.from)
		if len(crashes) >= crashesBeforeContact && at.After(crashes[crashesBeforeContact-1].Add(crashContact)) && reached[r.id] &&
			s.undisturbed(r.vm.name, r.from-crashContact, r.to, vmFaults+storeFaults+" peerLink") {
			late++
		}
	}
	s.t.Logf("the deadly request was sent %d times and crashed %d targets; %d repeats reached targets late", sent, len(crashes), late)
	if late > crashRepeats {
		s.t.Errorf("the deadly request reached targets in %d requests of undisturbed VMs more than %v after crash %d; at most %d are allowed",
			late, crashContact, crashesBeforeContact, crashRepeats)
	}
}
