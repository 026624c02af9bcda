package test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cassiasaddle/platform/cassiastage"
)

const (
	// soakStatingService is the service whose targets state that they leave, or refuse requests and ask for a pause.
	soakStatingService = "stating"
	soakStatingRoute   = "/stating/"
	soakStatingTargets = 6
	// soakStatingDelay is how long after the start of the callers the first targets make a statement.
	soakStatingDelay = time.Second
	// soakStatingCallers is the number of callers of the service, soakMaxStatingPause the longest pause between two requests of one.
	soakStatingCallers  = 3
	soakMaxStatingPause = 40 * time.Millisecond
	// soakStatingStream is the random stream of the statements and of the callers.
	soakStatingStream = 1 << 35
)

// soakStatement is a target that leaves, or refuses requests with a pause, from a time on.
type soakStatement struct {
	target *cassiastage.Target
	// pause is 0 for a target that leaves.
	pause time.Duration
	since time.Time
}

func (s *soak) addStatingService() {
	s.stating = cassiastage.NewSupervisor(s.store, soakStatingService, []byte("the whole answer"), cassiastage.Behaviour{Work: 10 * time.Millisecond},
		slices.Repeat([]string{"zone-a", "zone-b"}, soakStatingTargets/2)...)
	s.t.Cleanup(s.stating.Close)
}

// startStatingCallers starts the callers of the stating service. From soakStatingDelay on, half of its targets leave and the others ask for
// random pauses, each from a random time on.
func (s *soak) startStatingCallers(stop <-chan struct{}) {
	s.startRandomCallers(stop, soakStatingCallers, soakStatingStream+1, soakStatingRoute+"x", soakMaxStatingPause)
	random := rand.New(rand.NewPCG(s.seed, soakStatingStream))
	s.callers.Go(func() error {
		sleep(soakStatingDelay)
		for i, target := range s.stating.All() {
			statement := soakStatement{target: target}
			behaviour := cassiastage.Behaviour{Work: 10 * time.Millisecond, Leaving: true, LeavingEach: 1 + random.IntN(3)}
			if i >= soakStatingTargets/2 {
				statement.pause = time.Duration(700+random.IntN(2500)) * time.Millisecond
				behaviour = cassiastage.Behaviour{Work: 10 * time.Millisecond, Busy: fmt.Sprint(statement.pause.Seconds()), BusyEach: 1 + random.IntN(3)}
			}
			target.SetBehaviour(behaviour)
			statement.since = time.Now()
			s.statements = append(s.statements, statement)
			sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		}
		return nil
	})
}

// soakSender is a process of a VM.
type soakSender struct {
	vm       *soakVM
	lifetime int
}

// checkStatements requires that a VM sends nothing to a target after it has returned an answer in which the target stated that it leaves,
// and at most availabilityRepeats requests within a pause. A VM that was paused may have sent them before.
func (s *soak) checkStatements() {
	requests := make(map[string]soakRequest)
	for _, r := range s.requests {
		if strings.HasPrefix(r.path, soakStatingRoute) {
			requests[r.id] = r
		}
	}
	for _, statement := range s.statements {
		arrivals := make(map[soakSender][]cassiastage.Arrival)
		for _, a := range statement.target.Arrivals() {
			r := requests[a.Request]
			if a.At.After(statement.since) && s.undisturbed(r.vm.name, a.At.Sub(s.start)-soakReconnectTime, a.At.Sub(s.start), "pause") {
				sender := soakSender{r.vm, r.lifetime}
				arrivals[sender] = append(arrivals[sender], a)
			}
		}
		for sender, each := range arrivals {
			if statement.pause == 0 {
				s.checkLeaving(statement, sender, each, requests)
			} else {
				s.checkPauses(statement, sender, each)
			}
		}
	}
}

// checkLeaving requires that a VM sends nothing to a target that leaves after it has passed on an answer that states it. Requests that it
// had sent at that time take until availabilityGrace later.
func (s *soak) checkLeaving(statement soakStatement, sender soakSender, arrivals []cassiastage.Arrival, requests map[string]soakRequest) {
	stated := statement.target.StatedLeaving()
	for _, first := range arrivals {
		r := requests[first.Request]
		if !stated[first.Request] || r.err != nil || r.answer.header.Get("Server-Leaving") == "" {
			continue
		}
		passedOn := s.start.Add(r.to)
		for _, a := range arrivals {
			if a.At.After(passedOn.Add(availabilityGrace)) {
				s.t.Errorf("%s got a request of %s, lifetime %d, %v after that VM had passed on that it leaves", statement.target.Name, sender.vm.name,
					sender.lifetime, a.At.Sub(passedOn))
			}
		}
		return
	}
}

// checkPauses requires that at most availabilityRepeats requests of a VM reach a target within a pause that it asked that VM for. A VM that was cut
// off from targets within the pause is excused, since it may not have got the answer.
func (s *soak) checkPauses(statement soakStatement, sender soakSender, arrivals []cassiastage.Arrival) {
	for _, refused := range statement.target.TurnedAway() {
		if !slices.ContainsFunc(arrivals, func(a cassiastage.Arrival) bool { return a.Request == refused.Request }) {
			continue
		}
		if from := refused.At.Sub(s.start); !s.undisturbed(sender.vm.name, from, from+statement.pause, "targetLinks") {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if a.At.After(refused.At.Add(availabilityGrace)) && a.At.Before(refused.At.Add(statement.pause)) {
				n++
			}
		}
		if n > availabilityRepeats {
			s.t.Errorf("%s got %d requests of %s, lifetime %d, within a pause of %v that began at %v", statement.target.Name, n, sender.vm.name,
				sender.lifetime, statement.pause, refused.At.Sub(s.start))
		}
	}
}
