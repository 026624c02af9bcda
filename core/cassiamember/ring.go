package cassiamember

import (
	"math/rand/v2"
	"slices"

	"cassiasaddle/core/cassiaid"
)

// ring visits every name once in a random order, then again in another one.
type ring struct {
	names []cassiaid.VMName
	next  int
}

// insert puts a name at a random place, so that new members are not all probed at once.
func (r *ring) insert(name cassiaid.VMName, random *rand.Rand) {
	at := random.IntN(len(r.names) + 1)
	r.names = slices.Insert(r.names, at, name)
	if at < r.next {
		r.next++
	}
}

// remove takes a name out.
func (r *ring) remove(name cassiaid.VMName) {
	at := slices.Index(r.names, name)
	if at < 0 {
		return
	}
	r.names = slices.Delete(r.names, at, at+1)
	if at < r.next {
		r.next--
	}
}

// take returns the next name, or false when there is none.
func (r *ring) take(random *rand.Rand) (cassiaid.VMName, bool) {
	if len(r.names) == 0 {
		return "", false
	}
	if r.next >= len(r.names) {
		r.next = 0
		random.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	name := r.names[r.next]
	r.next++
	return name, true
}

// pick returns up to a number of different random names, except one, out of a total that a function numbers.
func pick(total, count int, random *rand.Rand, except cassiaid.VMName, nameOf func(int) cassiaid.VMName) []cassiaid.VMName {
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
