package cassiasettings

// storeCall tracks calls to the store, of which at most one is in flight at a time.
type storeCall struct {
	backoff backoff
	// last is the ID of the latest call. current is the ID of the call in flight, or 0 if there is none.
	last, current CallID
	// watchInFlight reports whether the call in flight is a WatchHead.
	watchInFlight bool
	// headKnown reports whether the head has been read since the last failure.
	headKnown bool
	// revision is the store revision of the head that was last read.
	revision uint64
}

func (s *storeCall) begin() CallID {
	s.last++
	s.current = s.last
	return s.current
}

// finish records that a call has succeeded and reports whether it was the call in flight.
func (s *storeCall) finish(call CallID) bool {
	if call != s.current {
		return false
	}
	s.current, s.watchInFlight = 0, false
	s.backoff.reset()
	return true
}

// stopWatch cancels a WatchHead in flight. Other calls are short and are left to end by themselves.
func (s *storeCall) stopWatch() []Effect {
	s.headKnown = false
	if s.current == 0 || !s.watchInFlight {
		return nil
	}
	call := s.current
	s.current, s.watchInFlight = 0, false
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
	p.store.current, p.store.watchInFlight, p.store.headKnown = 0, false, false
	p.store.backoff.fail(p.config.Clock.Now(), p.config.Rand)
	p.dropIncompleteCandidate("")
	return []Effect{Count{CountStoreFailed}}
}

// callStore starts the next store call if none is in flight: it fetches the edits that a candidate from the store lacks,
// else reads the head, else, on a watcher, watches for the next head.
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
	p.store.watchInFlight = true
	return []Effect{WatchHead{Call: p.store.begin(), After: p.store.revision}}
}

// mayCallStore reports whether this VM may call the store: it is a watcher, or it has received no settings from its peers
// until fallbackAt.
func (p *Propagation) mayCallStore() bool {
	return p.watching || p.tree == nil && !p.config.Clock.Now().Before(p.fallbackAt)
}
