package cassiabudget

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// sharedRatio and sharedSlack are the parts of the allowed ratio and slack that VMs plan with that send for all; the rest is
	// for those who send past them.
	aggregatorRatioShare = 0.8
	aggregatorSlackShare = 0.8
	// idleWindows is for how many windows a VM that sends nothing for a service earns; while it does not, another one may.
	maxIdleWindows = 0.01
)

// Shared holds a budget a service for attempts that one VM of a zone sends for all; Allowance is all that it needs.
type Shared[K comparable] struct {
	Allowance Allowance
	zones     MemberCounter[cassiaid.Zone]
	budgets   map[K]*Metered
}

// SetZones replaces the zones that are known to have such VMs.
func (s *Shared[K]) SetZones(now time.Time, zones []cassiaid.Zone) {
	s.zones.Hold = s.Allowance.windows(holdWindows)
	s.zones.List(now, zones)
}

// Admit tells whether an attempt at a service may be sent; extra is true for one beyond the first of a request.
func (s *Shared[K]) Admit(now time.Time, service K, extra bool) bool {
	b := s.budgets[service]
	if b == nil {
		if s.budgets == nil {
			s.budgets = make(map[K]*Metered)
		}
		b = &Metered{Split: SteadySplit, MaxIdle: s.Allowance.windows(maxIdleWindows)}
		s.budgets[service] = b
	}
	part := s.Allowance.Part(aggregatorRatioShare, aggregatorSlackShare/float64(max(1, s.zones.Count(now))))
	if extra {
		return b.Take(now, part)
	}
	b.Earn(now, part, 1)
	return true
}
