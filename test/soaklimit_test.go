package test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/platform/cassiastage"
)

const (
	// soakLimitedService is the service whose targets name the rate of requests that they accept.
	soakLimitedService = "limited"
	soakLimitedRoute   = "/limited/"
	soakLimitedTargets = 4
	// soakLimitDelay is how long after the start of the callers the targets begin to name their rates, which they do to the end.
	soakLimitDelay = time.Second
	// soakLimitedCallers is the number of callers of the service, soakMaxLimitedPause the longest pause between two requests of one.
	soakLimitedCallers  = 3
	soakMaxLimitedPause = 60 * time.Millisecond
	// soakLimitMemory is how long after it has passed on a limit a process has to keep to it.
	soakLimitMemory = 500 * time.Millisecond
	// soakLimitedStream is the random stream of the limits and of the callers.
	soakLimitedStream = 1 << 34
)

// soakRates are the rates that targets name; a target without one accepts all requests.
var soakRates = []string{"", "0", "0.5", "1", "1.4", "4", "12"}

// soakLimit is a target with the rate that it names since a time.
type soakLimit struct {
	target *cassiastage.Target
	rate   float64
	named  time.Time
}

func (s *soak) addLimitedService() {
	s.limited = cassiastage.NewSupervisor(s.store, soakLimitedService, []byte("the whole answer"), cassiastage.Behaviour{Work: 10 * time.Millisecond},
		slices.Repeat([]string{"zone-a", "zone-b"}, soakLimitedTargets/2)...)
	s.t.Cleanup(s.limited.Close)
}

// startLimitedCallers starts the callers of the limited service, and has its targets name random rates soakLimitDelay later.
func (s *soak) startLimitedCallers(stop <-chan struct{}) {
	s.startRandomCallers(stop, soakLimitedCallers, soakLimitedStream+1, soakLimitedRoute+"x", soakMaxLimitedPause)
	random := rand.New(rand.NewPCG(s.seed, soakLimitedStream))
	s.callers.Go(func() error {
		sleep(soakLimitDelay)
		for _, target := range s.limited.All() {
			rate := soakRates[random.IntN(len(soakRates))]
			if rate == "" {
				continue
			}
			named := nameLimit(rate, target)
			number, err := strconv.ParseFloat(rate, 64)
			if err != nil {
				return err
			}
			s.limits = append(s.limits, soakLimit{target: target, rate: number, named: named})
		}
		return nil
	})
}

// startRandomCallers starts callers with the random streams from the given one on. Each sends requests to random VMs, with random pauses,
// until stop is closed.
func (s *soak) startRandomCallers(stop <-chan struct{}, callers int, stream uint64, path string, maxPause time.Duration) {
	for i := range callers {
		random := rand.New(rand.NewPCG(s.seed, stream+uint64(i)))
		s.startCaller(stop, random, maxPause, func(vm *soakVM, lifetime int) { s.callOnce(vm, lifetime, http.MethodGet, path, "") })
	}
}

// startCaller starts a caller that calls random VMs that are up, with random pauses, until stop is closed.
func (s *soak) startCaller(stop <-chan struct{}, random *rand.Rand, maxPause time.Duration, call func(vm *soakVM, lifetime int)) {
	s.callers.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			default:
			}
			vm := s.anyVM(random)
			if lifetime, up, _ := vm.state(); up {
				call(vm, lifetime)
			}
			sleep(time.Duration(random.Float64() * float64(maxPause)))
		}
	})
}

// limitKnownSince returns since when a process has passed on answers of a target that name its limit, or an hour if it has not.
func (s *soak) limitKnownSince(process soakSender, l soakLimit) time.Duration {
	for _, r := range s.requests {
		named := strings.HasPrefix(r.answer.header.Get("X-Cassiasaddle-Server-Stamp"), "stamp."+l.target.Name+".") && s.start.Add(r.to).After(l.named)
		if r.vm == process.vm && r.lifetime == process.lifetime && named {
			return r.to
		}
	}
	return time.Hour
}

// checkLimits requires that targets get no more requests than they bear from processes that were not disturbed within borneAfter and
// that had passed on the limit soakLimitMemory before, all together, and no more than they bear from any single process. The first
// requests of processes that started together may come at the same time.
func (s *soak) checkLimits() {
	requests := make(map[string]soakRequest)
	refused := 0
	for _, r := range s.requests {
		if strings.HasPrefix(r.path, soakLimitedRoute) {
			requests[r.id] = r
			if r.err == nil && r.answer.status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	var rates []string
	for _, l := range s.limits {
		rates = append(rates, fmt.Sprint(l.rate))
		known := make(map[soakSender]time.Duration)
		perProcess := make(map[soakSender][]cassiastage.Arrival)
		var informed []cassiastage.Arrival
		for _, a := range l.target.Arrivals() {
			at, r := a.At.Sub(s.start), requests[a.Request]
			if !s.undisturbed(r.vm.name, at-envLimits.borneAfter, at, vmFaults+" storeLink peerLink") {
				continue
			}
			process := soakSender{r.vm, r.lifetime}
			if _, found := known[process]; !found {
				known[process] = s.limitKnownSince(process, l)
			}
			perProcess[process] = append(perProcess[process], a)
			if at >= known[process]+soakLimitMemory {
				informed = append(informed, a)
			}
		}
		s.checkLimit(l, "all processes that know it", informed)
		for process, arrivals := range perProcess {
			s.checkLimit(l, fmt.Sprintf("%s, lifetime %d", process.vm.name, process.lifetime), arrivals)
		}
	}
	s.t.Logf("%d requests were sent to targets that name the rates %s; %d were refused", len(requests), cmp.Or(strings.Join(rates, ", "), "none"), refused)
}

// checkLimit requires that a target got no more requests than it bears among those that the senders sent.
func (s *soak) checkLimit(l soakLimit, senders string, arrivals []cassiastage.Arrival) {
	over, at := envLimits.worstExcess(l.rate, arrivals, l.named, time.Now())
	if over <= 0 {
		return
	}
	var seen []string
	for _, a := range arrivals {
		if !a.At.Before(at) && a.At.Before(at.Add(envLimits.borneWindow)) {
			seen = append(seen, fmt.Sprintf("%.3f s (%s)", a.At.Sub(s.start).Seconds(), a.Request))
		}
	}
	s.t.Errorf("%s got %.1f requests over what it bears at %v a second from %s, in the window from %v on: %s", l.target.Name, over, l.rate, senders,
		at.Sub(s.start), strings.Join(seen, ", "))
}
