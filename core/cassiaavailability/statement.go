package cassiaavailability

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaschema"
)

// MaxPause is the longest pause that is respected; a target that names a longer one gets a request after this time.
const MaxPause = time.Hour

// Statement is what an answer of a target states about further requests from the VM that it answered. The zero value states
// nothing.
type Statement struct {
	// Leaving is true if the target's process is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no further requests; 0 if it names no time.
	Pause time.Duration
	// Malformed is true if a value that the target names can't be used.
	Malformed bool
}

// ParseStatement returns the statement of an answer with the given values of the two headers. The longest of several pauses
// counts. Pauses are decimal numbers of seconds; other values, dates among them, are malformed and otherwise ignored.
func ParseStatement(leaving, pauses []string) Statement {
	s := Statement{Leaving: slices.ContainsFunc(leaving, isTrue)}
	for _, value := range pauses {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		// A comparison with NaN is false.
		if err != nil || !(seconds >= 0 && seconds < maxPauseSeconds) {
			s.Malformed = true
			continue
		}
		s.Pause = max(s.Pause, min(time.Duration(seconds*float64(time.Second)), MaxPause))
	}
	return s
}

// maxPauseSeconds is the number of seconds in a century; larger values are not meant as a time.
const maxPauseSeconds = 100 * 365 * 24 * 60 * 60

func isTrue(value string) bool {
	on, err := strconv.ParseBool(strings.TrimSpace(value))
	return err == nil && on
}

// Message returns the message for the statement, or nil if it states nothing.
func (s Statement) Message() *cassiaschema.Availability {
	if s == (Statement{}) {
		return nil
	}
	m := &cassiaschema.Availability{Leaving: s.Leaving, Malformed: s.Malformed}
	if s.Pause > 0 {
		m.Pause = durationpb.New(s.Pause)
	}
	return m
}

// StatementFrom returns the statement that a message holds; nil states nothing.
func StatementFrom(m *cassiaschema.Availability) Statement {
	if m == nil {
		return Statement{}
	}
	pause := min(max(0, m.GetPause().AsDuration()), MaxPause)
	return Statement{Leaving: m.GetLeaving(), Pause: pause, Malformed: m.GetMalformed()}
}
