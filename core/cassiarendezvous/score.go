package cassiarendezvous

import "math"

// fractionBits is the number of hash bits that are converted to a float64 between 0 and 1.
const fractionBits = 53

// Score returns the score of a member for a key, given the hash of the two. The member with the largest score is chosen, so
// that each member gets keys in proportion to its weight. A weight of zero or less counts as 1.
func Score(hash uint64, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	uniform := (float64(hash>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -weight / math.Log(uniform)
}
