package cassiagateway

import (
	"math"

	"cassiasaddle/core/cassiabudget"
)

// minReportedChange is the smallest change of a rate that is reported, as a share of the rate reported before.
const minReportedChange = 0.1

// reportAcceptance reports changes of what a target states about the rate of requests that it accepts.
func (g *Gateway) reportAcceptance(t *target, a cassiabudget.Acceptance) {
	before := t.reportedAcceptance
	event := EventLimited
	switch {
	case a.State == cassiabudget.AcceptanceUnknown,
		a.State == before.State && math.Abs(float64(a.Rate-before.Rate)) <= minReportedChange*float64(before.Rate):
		return
	case a.State == cassiabudget.AcceptanceMalformed:
		event = EventMalformedLimit
	case a.State == cassiabudget.AcceptanceUnlimited:
		event = EventUnlimited
	}
	t.reportedAcceptance = a
	if a.State != cassiabudget.AcceptanceUnlimited || before.State != cassiabudget.AcceptanceUnknown {
		g.emit(ViewChanged{Event: event, Target: t.Name, Zone: t.Zone, Rate: a.Rate})
	}
}
