package cassiabudget

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"cassiasaddle/core/cassiaschema"
)

// Rate is a number of requests per second.
type Rate float64

// maxRate is above every rate at which a VM can send, so that calculations with a Rate stay finite.
const maxRate Rate = 1e6

// AcceptanceState is the kind of statement that an answer makes about the rate of requests that its target accepts.
type AcceptanceState int

// Values of AcceptanceState.
const (
	// AcceptanceUnknown means that the answer states nothing, as one that never came.
	AcceptanceUnknown AcceptanceState = iota
	// AcceptanceUnlimited means that the target names no rate.
	AcceptanceUnlimited
	// AcceptanceLimited means that the target names a rate.
	AcceptanceLimited
	// AcceptanceMalformed means that what the target names is not a rate.
	AcceptanceMalformed
)

// Acceptance is what an answer of a target states about the rate of requests that the target accepts from all VMs together.
type Acceptance struct {
	State AcceptanceState
	// Rate is set for AcceptanceLimited.
	Rate Rate
}

// AcceptanceOf returns the acceptance of an answer that names rates: the lowest of them if there are several. Values that are
// negative or not a number are ignored; an answer with no other values is malformed, and one without values is unlimited.
func AcceptanceOf(rates []float64) Acceptance {
	if len(rates) == 0 {
		return Acceptance{State: AcceptanceUnlimited}
	}
	lowest := Acceptance{State: AcceptanceMalformed}
	for _, r := range rates {
		// A comparison with NaN is false.
		if r >= 0 && (lowest.State != AcceptanceLimited || Rate(r) < lowest.Rate) {
			lowest = Acceptance{State: AcceptanceLimited, Rate: min(Rate(r), maxRate)}
		}
	}
	return lowest
}

// ParseAcceptance returns the acceptance of an answer with the given values of the header that names the rate. A value may hold
// several rates, separated by commas.
func ParseAcceptance(values []string) Acceptance {
	var rates []float64
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil && !errors.Is(err, strconv.ErrRange) {
				rate = math.NaN()
			}
			rates = append(rates, rate)
		}
	}
	return AcceptanceOf(rates)
}

// Message returns the message for the acceptance, or nil if it is unknown.
func (a Acceptance) Message() *cassiaschema.Acceptance {
	switch a.State {
	case AcceptanceUnlimited:
		return &cassiaschema.Acceptance{}
	case AcceptanceLimited:
		return &cassiaschema.Acceptance{Rates: []float64{float64(a.Rate)}}
	case AcceptanceMalformed:
		// No target can name this rate, so the receiver finds it malformed, too.
		return &cassiaschema.Acceptance{Rates: []float64{-1}}
	}
	return nil
}

// AcceptanceFrom returns the acceptance that a message holds; nil means unknown.
func AcceptanceFrom(m *cassiaschema.Acceptance) Acceptance {
	if m == nil {
		return Acceptance{}
	}
	return AcceptanceOf(m.GetRates())
}
