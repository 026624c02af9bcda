package cassiamember

import (
	"math/rand/v2"
	"slices"

	"cassiasaddle/core/cassiaid"
)

// shuffledList visits every name once in a random order, then again in another one.
type shuffledList struct {
	names  []cassiaid.VMName
	cursor int
}

// insert puts a name at a random place, so that new members are not all probed at once.
func (r *shuffledList) insert(name cassiaid.VMName, random *rand.Rand) {
	at := random.IntN(len(r.names) + 1)
	r.names = slices.Insert(r.names, at, name)
	if at < r.cursor {
		r.cursor++
	}
}

// remove takes a name out.
func (r *shuffledList) remove(name cassiaid.VMName) {
	at := slices.Index(r.names, name)
	if at < 0 {
		return
	}
	r.names = slices.Delete(r.names, at, at+1)
	if at < r.cursor {
		r.cursor--
	}
}

// advance returns the next name, or false when there is none.
func (r *shuffledList) advance(random *rand.Rand) (cassiaid.VMName, bool) {
	if len(r.names) == 0 {
		return "", false
	}
	if r.cursor >= len(r.names) {
		r.cursor = 0
		random.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	name := r.names[r.cursor]
	r.cursor++
	return name, true
}

// sampleNames returns up to a number of different random names, except one, out of a total that a function numbers.
func sampleNames(total, count int, random *rand.Rand, except cassiaid.VMName, nameOf func(int) cassiaid.VMName) []cassiaid.VMName {
	picked := make([]cassiaid.VMName, 0, count)
	add := func(i int) {
		if name := nameOf(i); name != except && len(picked) < count && !slices.Contains(picked, name) {
			picked = append(picked, name)
		}
	}
	if total <= 2*count {
		for _, i := range random.Perm(total) {
			add(i)
		}
		return picked
	}
	for tries := 0; len(picked) < count && tries < 8*count; tries++ {
		add(random.IntN(total))
	}
	return picked
}
