package cassiabudget

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// aggregatorRatioShare and aggregatorSlackShare are the fractions of Ratio and Slack that aggregators use; the rest is for
	// VMs that send attempts directly to targets.
	aggregatorRatioShare = 0.8
	aggregatorSlackShare = 0.8
	// maxIdleWindows is Metered.MaxIdle in windows: the longest time between two attempts at a service for which tokens are added.
	// During a longer gap another VM may be the aggregator of the zone, and its budget is refilled instead.
	maxIdleWindows = 0.01
)

// ServiceBudgets holds one budget per service for an aggregator, a VM that sends attempts for all VMs of its zone. The
// aggregators of all zones divide the slack evenly. Only Allowance has to be set before use. A ServiceBudgets is not safe for
// concurrent use.
type ServiceBudgets[K comparable] struct {
	Allowance Allowance
	zones     MemberCounter[cassiaid.Zone]
	budgets   map[K]*Metered
}

// SetZones replaces the zones that have an aggregator. A zone that disappears is counted for another two windows.
func (s *ServiceBudgets[K]) SetZones(now time.Time, zones []cassiaid.Zone) {
	s.zones.Hold = s.Allowance.windows(holdWindows)
	s.zones.List(now, zones)
}

// Admit reports whether an attempt at a service may be sent. extra is true for an extra request, which takes a token; a first
// attempt is always admitted and adds to the budget.
func (s *ServiceBudgets[K]) Admit(now time.Time, service K, extra bool) bool {
	b := s.budgets[service]
	if b == nil {
		if s.budgets == nil {
			s.budgets = make(map[K]*Metered)
		}
		b = &Metered{Split: SteadySplit, MaxIdle: s.Allowance.windows(maxIdleWindows)}
		s.budgets[service] = b
	}
	scaled := s.Allowance.Scale(aggregatorRatioShare, aggregatorSlackShare/float64(max(1, s.zones.Count(now))))
	if extra {
		return b.Take(now, scaled)
	}
	b.Earn(now, scaled, 1)
	return true
}
