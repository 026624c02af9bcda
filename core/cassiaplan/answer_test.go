package cassiaplan

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCoverageFraction(t *testing.T) {
	c := qt.New(t)
	c.Assert(Coverage{}.Fraction(), qt.Equals, 0.0)
	c.Assert(Coverage{Asked: 4, Answered: 3}.Fraction(), qt.Equals, 0.75)
}
