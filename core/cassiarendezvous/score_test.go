package cassiarendezvous

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMembersAreChosenInProportionToTheirWeight checks that, of two members, the one with three times the weight gets three
// quarters of the keys, and that a member without a weight counts as 1.
func TestMembersAreChosenInProportionToTheirWeight(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const keys = 100_000
	heavy := 0
	for range keys {
		if Score(random.Uint64(), 3) > Score(random.Uint64(), 0) {
			heavy++
		}
	}
	share := float64(heavy) / keys
	qt.Check(t, share > 0.74 && share < 0.76, qt.IsTrue, qt.Commentf("%v", share))
}
