package cassiaserver

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaroute"
)

// frontOwners returns the owners of a front's targets, without this VM.
func (s *server) frontOwners(front cassiaid.FrontKey) []cassiaid.VMName {
	var owners []cassiaid.VMName
	s.routes.With(func(t *cassiaroute.Table) { owners = t.FrontOwners(front) })
	return slices.DeleteFunc(owners, func(owner cassiaid.VMName) bool { return owner == s.self })
}

// shareQuarantine stops this VM's runs of a quarantined request and sends the quarantine to all other VMs by gossip.
func (s *server) shareQuarantine(quarantine cassiaquarantine.ShareQuarantine) {
	s.entry.Quarantined(quarantine.Fingerprint, quarantine.Remaining)
	s.gossip.AddQuarantine(quarantine.Fingerprint, quarantine.Remaining)
}

// ShareLeaving sends a notice to the other VMs that a target is leaving or accepts work again.
func (s *server) ShareLeaving(notice cassiaroute.ShareLeaving) {
	s.gossip.AddLeavingTarget(notice.Target, notice.Leaving, notice.Remaining)
}

// handleQuarantineNotice applies a quarantine that another VM has decided, for the remaining time.
func (s *server) handleQuarantineNotice(fingerprint cassiaid.Fingerprint, remaining time.Duration) {
	s.guard.Quarantined(fingerprint, remaining)
	s.entry.Quarantined(fingerprint, remaining)
}

// handleTargetNotice records another VM's notice that a target is leaving or accepts work again.
func (s *server) handleTargetNotice(target cassiaid.TargetName, leaving bool, remaining time.Duration) {
	if !leaving {
		s.routes.Update(cassiaroute.TargetBack{Target: target})
		return
	}
	s.routes.Update(cassiaroute.TargetLeaving{Target: target, Source: cassiaroute.SourceNotice, Remaining: remaining})
}
