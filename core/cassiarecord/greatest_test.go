package cassiarecord

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestGreatestDropsTheRemainder(t *testing.T) {
	c := qt.New(t)
	low, high := make([]byte, RecordSize), make([]byte, RecordSize)
	high[0] = 1
	part := append(append([]byte(nil), low...), 9, 9, 9)
	c.Check(Greatest([][]byte{part, high}, 5), qt.DeepEquals, append(append([]byte(nil), high...), low...))
	c.Check(Greatest([][]byte{part, high}, 1), qt.DeepEquals, high)
}

// TestSievedPartsGiveTheSameAnswer checks that merging pruned parts gives the same records as merging the whole parts.
func TestSievedPartsGiveTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		// The bytes take only two values, so that equal records are likely.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var parts, pruned [][]byte
		pruner := Pruner{Count: count}
		for range rapid.IntRange(0, 12).Draw(t, "parts") {
			part := make([]byte, random.IntN(10)*RecordSize+random.IntN(RecordSize))
			for i := range part {
				part[i] = byte(random.IntN(2))
			}
			parts = append(parts, part)
		}
		for rest := parts; len(rest) > 0; {
			n := 1 + random.IntN(len(rest))
			pruned = append(pruned, pruner.Prune(rest[:n]...)...)
			rest = rest[n:]
		}
		whole, fromPruned := Greatest(parts, count), Greatest(pruned, count)
		if string(whole) != string(fromPruned) {
			t.Fatalf("whole parts merge to %x, pruned parts to %x", whole, fromPruned)
		}
	})
}
