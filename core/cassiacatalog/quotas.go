package cassiacatalog

import (
	"cmp"
	"slices"
)

// WithQuota returns the teams that have a quota, those with the largest rates first.
func (t *Teams) WithQuota() []*Team {
	if t == nil {
		return nil
	}
	var limited []*Team
	for _, team := range t.byName {
		if team.Quota.Limited() {
			limited = append(limited, team)
		}
	}
	slices.SortFunc(limited, func(a, b *Team) int {
		return cmp.Or(cmp.Compare(b.Quota.Rate, a.Quota.Rate), cmp.Compare(a.Name, b.Name))
	})
	return limited
}
