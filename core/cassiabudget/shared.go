package cassiabudget

import "time"

const (
	// sharedRatio and sharedSlack are the parts of the allowed ratio and slack that VMs plan with that send for all; the rest is
	// for those who send past them.
	sharedRatio = 0.8
	sharedSlack = 0.8
)

// Shared holds a budget a service for attempts that one VM of a zone sends for all; Allowance and Zones are all it needs.
type Shared[K comparable] struct {
	Allowance Allowance
	// Zones is how many zones have such VMs.
	Zones   int
	budgets map[K]*Metered
}

// Admit tells whether an attempt at a service may be sent; extra is true for one beyond the first of a request.
func (s *Shared[K]) Admit(now time.Time, service K, extra bool) bool {
	b := s.budgets[service]
	if b == nil {
		if s.budgets == nil {
			s.budgets = make(map[K]*Metered)
		}
		b = &Metered{Split: Steady}
		s.budgets[service] = b
	}
	part := s.Allowance.Part(sharedRatio, sharedSlack/float64(max(1, s.Zones)))
	if extra {
		return b.Take(now, part)
	}
	b.Earn(now, part, 1)
	return true
}
