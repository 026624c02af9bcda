package cassiaexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
)

const (
	// beliefsBefore is how long before a request began what its VMs learned is still shown.
	beliefsBefore = 10 * time.Second
	// suspicionsBefore is how long losses of targets count against a request.
	suspicionsBefore = time.Minute
	// maxBeliefs is the number of lines shown of what the VMs learned, the last ones.
	maxBeliefs = 40
)

// beliefEvents are the events that tell what a VM learned of the system.
var beliefEvents = []string{"configurationInForce", "fleetChanged", "isolated", droppedEvent, "pathDoubted", "readinessChanged", "reconnected",
	"resumed", "retriesPlanned", "stopping", "storeLost", "storeRegained", "storeRestored", "targetEjected", "targetLeaving", "targetLimited",
	"targetPaused", "targetReached", "targetsChanged", "watcherAvoided", "zoneSilent"}

// suspicionEvents are the events about requests that lost targets.
var suspicionEvents = []string{"quarantined", "quarantineLearned", "suspect"}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string
	// Decisions holds the lines about the request, Suspicions those about the losses of targets under it, and Beliefs what the VMs
	// that decided learned shortly before and meanwhile; each in order of time.
	Decisions, Suspicions, Beliefs []Line
	// Missing describes the parts that the logs do not hold.
	Missing []string
}

// Explain collects the lines about a request. It returns an error if there are none.
func Explain(lines []Line, request string) (*Explanation, error) {
	e := &Explanation{Request: request}
	for _, l := range lines {
		if l.Value("request") == request {
			e.Decisions = append(e.Decisions, l)
		}
	}
	if len(e.Decisions) == 0 {
		return nil, eris.Errorf("no line has request=%s; check the id, and that the logs of the VM that answered it are among the files", request)
	}
	sortByTime(e.Decisions)
	from, to := e.span()
	vms := e.vms()
	for _, l := range lines {
		switch {
		case l.Time.After(to) || l.Value("request") != "":
		case slices.Contains(suspicionEvents, l.Event) && !l.Time.Before(from.Add(-suspicionsBefore)) && e.shares(l):
			e.Suspicions = append(e.Suspicions, l)
		case slices.Contains(beliefEvents, l.Event) && !l.Time.Before(from.Add(-beliefsBefore)) && slices.Contains(vms, l.VM):
			e.Beliefs = append(e.Beliefs, l)
		}
	}
	sortByTime(e.Suspicions)
	sortByTime(e.Beliefs)
	e.findMissing(lines, from, to)
	if over := len(e.Beliefs) - maxBeliefs; over > 0 {
		e.Beliefs = e.Beliefs[over:]
		e.Missing = append(e.Missing, fmt.Sprintf("%d earlier lines of what the VMs learned are not shown", over))
	}
	return e, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// span returns when the request began, by the elapsed time of its lines, and when its last line was written.
func (e *Explanation) span() (from, to time.Time) {
	from, to = e.Decisions[0].Time, e.Decisions[len(e.Decisions)-1].Time
	for _, l := range e.Decisions {
		if began := l.Time.Add(-l.duration("elapsed")); began.Before(from) {
			from = began
		}
	}
	return from, to
}

// vms returns the VMs that decided on the request.
func (e *Explanation) vms() []cassiaid.VMName {
	var vms []cassiaid.VMName
	for _, l := range e.Decisions {
		if !slices.Contains(vms, l.VM) {
			vms = append(vms, l.VM)
		}
	}
	return vms
}

// shares reports whether a line is about the fingerprint or the content of the request.
func (e *Explanation) shares(l Line) bool {
	return slices.ContainsFunc(e.Decisions, func(d Line) bool {
		fingerprint, content := d.Value("fingerprint"), d.Value("content")
		return fingerprint != "" && l.Value("fingerprint") == fingerprint ||
			content != "" && (l.Value("content") == content || l.Value("fingerprint") == content)
	})
}

// findMissing notes VMs that took part without a line about the request, a request without its end, and dropped lines.
func (e *Explanation) findMissing(lines []Line, from, to time.Time) {
	vms := e.vms()
	ended := false
	for _, d := range e.Decisions {
		ended = ended || slices.Contains([]string{"answered", "refused", "callerGone"}, d.Event)
		other := cassiaid.VMName(d.Value("forwardedTo"))
		if d.Event == "forwarded" {
			other = cassiaid.VMName(d.Value("to"))
		}
		if other != "" && !slices.Contains(vms, other) {
			e.Missing = append(e.Missing, fmt.Sprintf("%s was to serve the request, and no line of it is there: its log is not among the files, or lacks the line", other))
			vms = append(vms, other)
		}
	}
	if !ended {
		e.Missing = append(e.Missing, "no line tells the end of the request")
	}
	for _, l := range lines {
		// The count of dropped lines is written with the next line that is not.
		if l.Event == droppedEvent && slices.Contains(vms, l.VM) && !l.Time.Before(from) && !l.Time.After(to.Add(time.Second)) {
			e.Missing = append(e.Missing, fmt.Sprintf("%s dropped %s lines about that time", l.VM, l.Value("count")))
		}
	}
}

// Write prints the explanation as text.
func (e *Explanation) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", e.Request)
	for _, part := range []struct {
		title string
		lines []Line
	}{{"what the VMs learned before and meanwhile", e.Beliefs}, {"losses of targets under it", e.Suspicions}, {"decisions", e.Decisions}} {
		if len(part.lines) == 0 {
			continue
		}
		fmt.Fprintf(&text, "\n%s\n", part.title)
		for _, l := range part.lines {
			fmt.Fprintf(&text, "  %s %s %s", l.Time.Format("15:04:05.000000"), l.VM, l.Event)
			for _, f := range l.Fields {
				if f.Key != "request" {
					fmt.Fprintf(&text, " %s=%s", f.Key, f.Value)
				}
			}
			text.WriteString("\n")
		}
	}
	if len(e.Missing) > 0 {
		text.WriteString("\nmissing\n")
		for _, m := range e.Missing {
			fmt.Fprintf(&text, "  %s\n", m)
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}
