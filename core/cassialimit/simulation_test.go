package cassialimit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// event is a function that the simulation calls at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulatedClock is a clock whose time the simulation sets.
type simulatedClock struct{ now time.Time }

func (c *simulatedClock) Now() time.Time { return c.now }

// simulation sends attempts through a limiter to a simulated target with a few slots, a queue and log-normal run times.
type simulation struct {
	clock   *simulatedClock
	random  *rand.Rand
	limiter *Limiter
	events  events
	// slots is the number of attempts that the target runs at once; it refuses attempts while shedAbove others wait.
	slots, shedAbove int
	median           time.Duration
	busy             int
	waiting          []cassiaid.AttemptID
	started          map[cassiaid.AttemptID]time.Time
	deadlines        map[cassiaid.AttemptID]time.Time
	next             cassiaid.AttemptID

	answered, late, refused, shed, queueLengthSum, samples int
}

func newSimulation(bounds Bounds, slots int, median time.Duration) *simulation {
	clock := &simulatedClock{now: origin}
	return &simulation{
		clock: clock, random: rand.New(rand.NewPCG(1, 2)), limiter: NewLimiter(clock, bounds),
		slots: slots, shedAbove: 32, median: median,
		started: map[cassiaid.AttemptID]time.Time{}, deadlines: map[cassiaid.AttemptID]time.Time{},
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.clock.Now().Add(d), do: do})
}

// run offers attempts with exponentially distributed gaps of a mean interval, for the given length.
func (s *simulation) run(interval, deadline, length time.Duration) {
	end := s.clock.Now().Add(length)
	var arrive func()
	arrive = func() {
		if !s.clock.Now().Before(end) {
			return
		}
		s.next++
		s.deadlines[s.next] = s.clock.Now().Add(deadline)
		s.update(Offer{ID: s.next, Deadline: s.deadlines[s.next]})
		s.after(time.Duration(s.random.ExpFloat64()*float64(interval)), arrive)
	}
	arrive()
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.clock.now = e.at
		e.do()
	}
}

func (s *simulation) update(m Message) {
	for _, e := range s.limiter.Update(m) {
		switch e := e.(type) {
		case Start:
			s.arriveAtTarget(e.ID)
		case Refuse:
			s.refused++
		case WakeAt:
			s.after(e.Time.Sub(s.clock.Now()), func() { s.update(Tick{}) })
		}
	}
}

func (s *simulation) arriveAtTarget(id cassiaid.AttemptID) {
	s.started[id] = s.clock.Now()
	s.queueLengthSum += len(s.waiting)
	s.samples++
	switch {
	case s.busy < s.slots:
		s.serve(id)
	case len(s.waiting) >= s.shedAbove:
		s.shed++
		s.after(time.Millisecond, func() { s.finish(id, cassiaschema.ShardOutcome_overloaded) })
	default:
		s.waiting = append(s.waiting, id)
	}
}

func (s *simulation) serve(id cassiaid.AttemptID) {
	s.busy++
	const sigma = 0.35
	runTime := time.Duration(float64(s.median) * math.Exp(sigma*s.random.NormFloat64()))
	outcome := cassiaschema.ShardOutcome_answered
	if left := s.deadlines[id].Sub(s.clock.Now()); runTime > left {
		runTime, outcome = max(0, left), cassiaschema.ShardOutcome_timedOut
	}
	s.after(runTime, func() {
		s.busy--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.serve(next)
		}
		s.finish(id, outcome)
	})
}

func (s *simulation) finish(id cassiaid.AttemptID, outcome cassiaschema.ShardOutcome) {
	now := s.clock.Now()
	switch outcome {
	case cassiaschema.ShardOutcome_answered:
		s.answered++
	case cassiaschema.ShardOutcome_timedOut:
		s.late++
	}
	s.update(Done{ID: id, Outcome: outcome, Elapsed: now.Sub(s.started[id])})
}

// TestLimiterFindsTheSlots guards against a limit that leaves slots of a target idle or lets a queue build up at it, for targets of
// several sizes under low load and overload.
func TestLimiterFindsTheSlots(t *testing.T) {
	const median, length = 8 * time.Millisecond, 4 * time.Second
	tests := []struct {
		name                        string
		concurrency, slots, percent int
	}{
		{"one slot, low load", 4, 1, 60},
		{"one slot, overload", 4, 1, 200},
		{"two slots, overload", 4, 2, 200},
		{"six slots, overload", 16, 6, 200},
		{"sixteen slots, overload", 16, 16, 150},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(Bounds{Concurrency: tt.concurrency}, tt.slots, median)
			// 1.063 is the mean of the log-normal run times divided by their median.
			capacity := float64(tt.slots) * float64(length) / (1.063 * float64(median))
			interval := time.Duration(float64(length) / (capacity * float64(tt.percent) / 100))
			s.run(interval, 350*time.Millisecond, length)
			utilised := float64(s.answered) / capacity
			queue := float64(s.queueLengthSum) / float64(max(1, s.samples))
			t.Logf("%.2f of capacity answered, %d late, %d refused, %d shed by the target, %.2f wait at the target",
				utilised, s.late, s.refused, s.shed, queue)
			c.Check(utilised > 0.85*min(1, float64(tt.percent)/100), qt.IsTrue)
			c.Check(queue < 2, qt.IsTrue)
			c.Check(float64(s.late) < 0.01*float64(s.answered), qt.IsTrue)
		})
	}
}

// TestLimiterBacksOffFromATargetThatSheds: while another client uses all slots of a target, the limiter pauses between refusals; it
// uses the slots again afterwards.
func TestLimiterBacksOffFromATargetThatSheds(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(Bounds{Concurrency: 4}, 2, 8*time.Millisecond)
	s.shedAbove = 0
	s.run(8*time.Millisecond, 350*time.Millisecond, 5*time.Second)
	t.Logf("free: %d answered, %d shed", s.answered, s.shed)
	c.Check(s.shed < s.answered/5, qt.IsTrue)
	s.slots, s.shed, s.answered = 0, 0, 0
	s.run(8*time.Millisecond, 350*time.Millisecond, 5*time.Second)
	t.Logf("taken: %d shed", s.shed)
	c.Check(s.shed <= 5*int(time.Second/pauseMax)+10, qt.IsTrue)
	s.slots, s.answered = 2, 0
	s.run(8*time.Millisecond, 350*time.Millisecond, 5*time.Second)
	t.Logf("free again: %d answered", s.answered)
	c.Check(s.answered > 500, qt.IsTrue)
}

// TestLimiterRecoversFromASlowTarget: a target is slower than the deadline for 20 s; the limiter has to use it again afterwards.
func TestLimiterRecoversFromASlowTarget(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(Bounds{Concurrency: 4}, 2, 8*time.Millisecond)
	s.run(20*time.Millisecond, 350*time.Millisecond, 5*time.Second)
	s.median = 2 * time.Second
	s.run(20*time.Millisecond, 350*time.Millisecond, 20*time.Second)
	s.median, s.answered = 8*time.Millisecond, 0
	s.run(20*time.Millisecond, 350*time.Millisecond, 10*time.Second)
	t.Logf("%d answered of about 500", s.answered)
	c.Check(s.answered > 250, qt.IsTrue)
}

// TestLimiterUsesTheSlotsOfASlowTarget overloads a target whose attempts take a third of their deadlines. Its slots are wasted when
// it runs attempts alone too often to measure the unloaded latency, or when attempts start that can't end in time.
func TestLimiterUsesTheSlotsOfASlowTarget(t *testing.T) {
	c := qt.New(t)
	const median, length = 160 * time.Millisecond, 60 * time.Second
	s := newSimulation(Bounds{Concurrency: 3}, 2, median)
	s.run(40*time.Millisecond, 480*time.Millisecond, length)
	// 1.063 is the mean of the log-normal run times divided by their median.
	capacity := 2 * float64(length) / (1.063 * float64(median))
	t.Logf("%.2f of capacity answered, %d late", float64(s.answered)/capacity, s.late)
	c.Check(float64(s.answered) > 0.85*capacity, qt.IsTrue)
}
