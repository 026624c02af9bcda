package cassiamember

import (
	"math/rand/v2"
	"slices"

	"cassiasaddle/core/cassiaid"
)

// shuffledList visits every name once in a random order, then again in another one.
type shuffledList struct {
	names []cassiaid.VMName
	// cursor is the index of the name that advance returns next.
	cursor int
}

// insert adds a name at a random position, so that new members are not all probed at once.
func (l *shuffledList) insert(name cassiaid.VMName, random *rand.Rand) {
	at := random.IntN(len(l.names) + 1)
	l.names = slices.Insert(l.names, at, name)
	if at < l.cursor {
		l.cursor++
	}
}

// remove removes a name, if present.
func (l *shuffledList) remove(name cassiaid.VMName) {
	at := slices.Index(l.names, name)
	if at < 0 {
		return
	}
	l.names = slices.Delete(l.names, at, at+1)
	if at < l.cursor {
		l.cursor--
	}
}

// advance returns the next name, or false when the list is empty.
func (l *shuffledList) advance(random *rand.Rand) (cassiaid.VMName, bool) {
	if len(l.names) == 0 {
		return "", false
	}
	if l.cursor >= len(l.names) {
		l.cursor = 0
		random.Shuffle(len(l.names), func(i, j int) { l.names[i], l.names[j] = l.names[j], l.names[i] })
	}
	name := l.names[l.cursor]
	l.cursor++
	return name, true
}

// sampleNames returns up to count different random names other than except, from the names that nameOf returns for 0 to
// total-1.
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
