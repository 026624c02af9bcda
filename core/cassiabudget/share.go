package cassiabudget

import "time"

const (
	// Durations in windows of the allowance:

	// confirmationWindows is how long a member may use its fraction without a confirmation that it is listed.
	confirmationWindows = 0.5
	// settleWindows is how long a member counts as new. A new member does not know the members that left the list before it joined;
	// these may use their fractions for another confirmationWindows. settleWindows exceeds confirmationWindows by more than the
	// longest delay of a list.
	settleWindows = 1
	// holdWindows is how long a member is counted after it has left the list, so that no window contains both what it spent and
	// what the others spend in its place.
	holdWindows = 2

	// unseenMemberFactor is the factor by which a new member multiplies the members that it counts, for those that it may not
	// have seen.
	unseenMemberFactor = 2
	// unseenMembers is the number of members that may have joined since the last confirmation, if that is long ago.
	unseenMembers = 2
)

// Share computes the fraction of an allowance that one of several members may use. The members do not coordinate: each knows the
// others only from a list, which may be out of date and may lack members that are still running. Only Self has to be set before
// use. A Share is not safe for concurrent use.
type Share[K comparable] struct {
	// Self is the member that uses this Share.
	Self K
	// Window is the window of the allowance; zero means ten seconds.
	Window  time.Duration
	members MemberCounter[K]
	// confirmedAt is the last time at which Self was known to be listed. listedSince is the start of the period in which Self was
	// listed without a gap of more than settleWindows.
	confirmedAt, listedSince time.Time
}

// List replaces the list of members and confirms it.
func (s *Share[K]) List(now time.Time, members []K) {
	s.members.Hold = s.windows(holdWindows)
	s.members.List(now, members)
	s.Confirm(now)
}

// Confirm records that the list has not changed up to now. It has no effect while Self is not listed.
func (s *Share[K]) Confirm(now time.Time) {
	if !s.members.Listed(s.Self) {
		return
	}
	if s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.windows(settleWindows) {
		s.listedSince = now
	}
	s.confirmedAt = now
}

// Members returns the number of members that may be running, as counted by MemberCounter; 0 before the first call of List.
func (s *Share[K]) Members(now time.Time) int { return s.members.Count(now) }

// Counted returns the members that Members counts, in any order.
func (s *Share[K]) Counted(now time.Time) []K { return s.members.Counted(now) }

// Fraction returns the fraction of the allowance that Self may use, from 0 to 1. It is 0 when the last confirmation is older than
// confirmationWindows, because the other members may no longer count Self.
func (s *Share[K]) Fraction(now time.Time) float64 {
	if s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.windows(confirmationWindows) {
		return 0
	}
	members := float64(max(1, s.Members(now)))
	if now.Sub(s.listedSince) < s.windows(settleWindows) {
		members *= unseenMemberFactor
	}
	return 1 / members
}

// Place returns the place of Self, which has the given rank among the members that are counted. Self is uncounted while it is new,
// and once it has not been known to be listed for as long as members count one that has left the list. It assumes more members
// while its list may be out of date.
func (s *Share[K]) Place(now time.Time, rank int) Place {
	p := Place{Members: max(1, s.Members(now)), Rank: rank}
	unconfirmed := now.Sub(s.confirmedAt)
	if unconfirmed > s.windows(confirmationWindows) {
		p.Members += unseenMembers
	}
	p.Uncounted = s.confirmedAt.IsZero() || unconfirmed > s.windows(holdWindows) || now.Sub(s.listedSince) < s.windows(settleWindows)
	return p
}

// NextChange returns the next time at which Fraction may change without a call of List or Confirm, or the zero time if
// there is none.
func (s *Share[K]) NextChange(now time.Time) time.Time {
	next := s.members.nextExpiry(now)
	for _, at := range []time.Time{s.listedSince.Add(s.windows(settleWindows)), s.confirmedAt.Add(s.windows(confirmationWindows) + 1)} {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (s *Share[K]) windows(windows float64) time.Duration {
	return Allowance{Window: s.Window}.windows(windows)
}
