package cassiasettings

import (
	"cmp"
	"slices"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// initialCandidateReady reports whether a VM without settings may install its candidate. No live member may report a
// higher generation, and a candidate from a peer also requires that initialPullPeers peers, or all if there are fewer,
// have answered or failed.
func (p *Propagation) initialCandidateReady() bool {
	if highest := p.highestKnownGeneration(); p.candidate.generation() < highest {
		return false
	}
	if p.candidate.from == "" {
		return true
	}
	polledCount := 0
	for _, m := range p.peers {
		if p.polled[m.Name] {
			polledCount++
		}
	}
	return polledCount >= min(initialPullPeers, len(p.peers))
}

// highestKnownGeneration returns the highest generation reported by a live member or a digest, except rejected ones.
func (p *Propagation) highestKnownGeneration() cassiaid.Generation {
	var highest cassiaid.Generation
	for _, m := range p.peers {
		if !p.rejected[m.Generation] {
			highest = max(highest, m.Generation)
		}
	}
	for _, g := range p.announced {
		highest = max(highest, g)
	}
	return highest
}

// pull requests the rest of an incomplete candidate from the peer that sent its head, or else newer settings if a peer
// has them.
func (p *Propagation) pull() []Effect {
	if p.candidate != nil && p.candidate.from != "" && len(p.missingEdits(p.candidate.head)) > 0 {
		return p.pullFrom(p.candidate.from)
	}
	if !p.pullBackoff.ready(p.config.Clock.Now()) {
		return nil
	}
	if p.tree == nil {
		return p.initialPulls()
	}
	if len(p.pullsInFlight) > 0 || p.candidate != nil {
		return nil
	}
	if from, ok := p.pullSource(); ok {
		return p.pullFrom(from)
	}
	return nil
}

// initialPulls requests the settings of initialPullPeers peers, in descending order of their reported generation.
// Beyond that number it asks further peers only while there is no candidate or if they report a higher generation than
// the candidate. When no peer is left to ask, it makes all peers eligible again after a backoff.
func (p *Propagation) initialPulls() []Effect {
	peers := slices.Clone(p.peers)
	p.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b Member) int { return cmp.Compare(p.knownGeneration(b), p.knownGeneration(a)) })
	polledCount := 0
	for _, m := range peers {
		if p.polled[m.Name] {
			polledCount++
		}
	}
	var effects []Effect
	for _, m := range peers {
		higher := p.candidate == nil || p.knownGeneration(m) > p.candidate.generation() && !p.rejected[p.knownGeneration(m)]
		if p.polled[m.Name] || len(p.pullsInFlight) >= initialPullPeers || polledCount+len(p.pullsInFlight) >= initialPullPeers && !higher {
			continue
		}
		effects = append(effects, p.pullFrom(m.Name)...)
	}
	if len(p.pullsInFlight) == 0 && len(peers) > 0 {
		p.polled = make(map[cassiaid.VMName]bool)
		p.pullBackoff.fail(p.config.Clock.Now(), p.config.Rand)
	}
	return effects
}

// knownGeneration returns the highest generation that a member has reported through membership or in a digest.
func (p *Propagation) knownGeneration(m Member) cassiaid.Generation {
	return max(m.Generation, p.announced[m.Name])
}

// pullSource returns a random VM among those that report the highest generation, if it is above the one in force. VMs of
// this VM's zone are preferred.
func (p *Propagation) pullSource() (cassiaid.VMName, bool) {
	highest := p.highestKnownGeneration()
	if !p.eligible(highest) {
		return "", false
	}
	var preferred, otherZones []cassiaid.VMName
	for _, m := range p.peers {
		switch {
		case p.knownGeneration(m) != highest:
		case m.Zone == p.config.Zone:
			preferred = append(preferred, m.Name)
		default:
			otherZones = append(otherZones, m.Name)
		}
	}
	for name, g := range p.announced {
		if g == highest && !slices.Contains(preferred, name) && !slices.Contains(otherZones, name) {
			otherZones = append(otherZones, name)
		}
	}
	if len(preferred) == 0 {
		preferred = otherZones
	}
	slices.Sort(preferred)
	return preferred[p.config.Rand.IntN(len(preferred))], true
}

func (p *Propagation) pullFrom(from cassiaid.VMName) []Effect {
	if p.pullsInFlight[from] {
		return nil
	}
	p.pullsInFlight[from] = true
	request := &cassiaschema.SettingsRequest{HaveGeneration: uint64(p.tree.Generation()), Have: p.heldEdits()}
	return []Effect{Pull{From: from, Request: request}, Count{CountPull}}
}

// heldEdits returns the edits, in force or staged, that peers need not send again.
func (p *Propagation) heldEdits() []*cassiaschema.SubtreeHead {
	have := slices.Clone(p.tree.Head().GetSubtrees())
	for _, e := range p.staged {
		have = append(have, &cassiaschema.SubtreeHead{Subtree: e.GetSubtree(), Revision: e.GetRevision(), EditId: e.GetEditId()})
	}
	slices.SortFunc(have, func(a, b *cassiaschema.SubtreeHead) int { return cmp.Compare(a.GetEditId(), b.GetEditId()) })
	return have
}
