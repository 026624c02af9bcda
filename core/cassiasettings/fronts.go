package cassiasettings

import (
	"maps"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Fronts returns the fronts of all teams in a new map. The Front messages are shared with the tree and must not be
// modified.
func (t *Tree) Fronts() map[cassiaid.FrontKey]*cassiaschema.Front {
	if t == nil {
		return nil
	}
	return maps.Clone(t.fronts)
}
