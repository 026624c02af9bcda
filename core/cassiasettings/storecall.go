package cassiasettings

// storeCall is the one call to the store that may be in flight.
type storeCall struct {
	backoff backoff
	// last is the latest call; current is 0 when none is in flight.
	last, current CallID
	watching      bool
	// headKnown tells that the head has been read since the last failure.
	headKnown bool
	revision  uint64
}

func (s *storeCall) begin() CallID {
	s.last++
	s.current = s.last
	return s.current
}

// finish records the good end of a call and tells whether it was the current one.
func (s *storeCall) finish(call CallID) bool {
	if call != s.current {
		return false
	}
	s.current, s.watching = 0, false
	s.backoff.reset()
	return true
}

// stopWatch ends a waiting watch; a short call ends by itself.
func (s *storeCall) stopWatch() []Effect {
	s.headKnown = false
	if s.current == 0 || !s.watching {
		return nil
	}
	call := s.current
	s.current, s.watching = 0, false
	return []Effect{StopWatch{Call: call}}
}

func (p *Propagation) headRead(m HeadRead) []Effect {
	if p.store.finish(m.Call) {
		p.store.headKnown = true
		p.store.revision = m.Revision
	}
	if m.Head == nil && p.tree != nil {
		return nil
	}
	return p.updateCandidate(m.Head, "")
}

func (p *Propagation) storeFailed(call CallID) []Effect {
	if call != p.store.current {
		return nil
	}
	p.store.current, p.store.watching, p.store.headKnown = 0, false, false
	p.store.backoff.fail(p.config.Clock.Now(), p.config.Rand)
	p.dropIncompleteCandidate("")
	return []Effect{Count{CountStoreRetry}}
}

// callStore starts the next call: what the candidate lacks, else the head, else a watch for the next head.
func (p *Propagation) callStore() []Effect {
	if p.store.current != 0 || !p.mayCallStore() || !p.store.backoff.ready(p.config.Clock.Now()) {
		return nil
	}
	if p.candidate != nil && p.candidate.from == "" {
		if missing := p.missingEdits(p.candidate.head); len(missing) > 0 {
			return []Effect{FetchEdits{Call: p.store.begin(), Subtrees: missing}}
		}
	}
	if !p.store.headKnown {
		return []Effect{ReadHead{Call: p.store.begin()}}
	}
	if !p.watching {
		return nil
	}
	p.store.watching = true
	return []Effect{WatchHead{Call: p.store.begin(), After: p.store.revision}}
}

// mayCallStore is true for watchers, and for a VM that after a time has no settings from its peers.
func (p *Propagation) mayCallStore() bool {
	return p.watching || p.tree == nil && !p.config.Clock.Now().Before(p.fallbackAt)
}
