package cassiabudget

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAcceptanceOfNamedRates(t *testing.T) {
	limited := func(r Rate) Acceptance { return Acceptance{State: AcceptanceLimited, Rate: r} }
	for _, test := range []struct {
		name  string
		rates []float64
		want  Acceptance
	}{
		{"none", nil, Acceptance{State: AcceptanceUnlimited}},
		{"one", []float64{2.5}, limited(2.5)},
		{"zero", []float64{0}, limited(0)},
		{"several", []float64{7, 3, 5}, limited(3)},
		{"huge", []float64{math.Inf(1)}, limited(maxRate)},
		{"negative", []float64{-1}, Acceptance{State: AcceptanceMalformed}},
		{"not a number", []float64{math.NaN()}, Acceptance{State: AcceptanceMalformed}},
		{"one of several is not a number", []float64{math.NaN(), 4}, limited(4)},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, AcceptanceOf(test.rates), qt.Equals, test.want)
		})
	}
}
