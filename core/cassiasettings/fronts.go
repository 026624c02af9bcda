package cassiasettings

import (
	"maps"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Fronts returns the fronts of all teams; the messages are shared and must not be changed.
func (t *Tree) Fronts() map[cassiaid.FrontKey]*cassiaschema.Front {
	if t == nil {
		return nil
	}
	return maps.Clone(t.fronts)
}
