package cassiasettings

import (
	"cmp"
	"slices"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// settled tells whether a VM without settings has heard enough to take the candidate: its peers have answered and
// no live member names a higher generation.
func (p *Propagation) settled() bool {
	if highest := p.highestNamed(); p.candidate.generation() < highest {
		return false
	}
	if p.candidate.from == "" {
		return true
	}
	answers := 0
	for _, m := range p.others {
		if p.answered[m.Name] {
			answers++
		}
	}
	return answers >= min(firstAskPeers, len(p.others))
}

// highestNamed returns the highest generation that a live member or a digest names and that was not rejected.
func (p *Propagation) highestNamed() cassiaid.Generation {
	var highest cassiaid.Generation
	for _, m := range p.others {
		if !p.rejected[m.Generation] {
			highest = max(highest, m.Generation)
		}
	}
	for _, g := range p.heard {
		highest = max(highest, g)
	}
	return highest
}

// pull asks peers for newer settings, if there is reason to.
func (p *Propagation) pull() []Effect {
	if p.candidate != nil && p.candidate.from != "" && len(p.missing(p.candidate.head)) > 0 {
		return p.pullFrom(p.candidate.from)
	}
	if !p.pullBackoff.ready(p.config.Clock.Now()) {
		return nil
	}
	if p.tree == nil {
		return p.firstPulls()
	}
	if len(p.pulls) > 0 || p.candidate != nil {
		return nil
	}
	if from, ok := p.bestSource(); ok {
		return p.pullFrom(from)
	}
	return nil
}

// firstPulls asks a few peers, those first that name the highest generation, and goes on while a member names a
// higher one than the candidate.
func (p *Propagation) firstPulls() []Effect {
	others := slices.Clone(p.others)
	p.config.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b Member) int { return cmp.Compare(p.named(b), p.named(a)) })
	answers := 0
	for _, m := range others {
		if p.answered[m.Name] {
			answers++
		}
	}
	var effects []Effect
	for _, m := range others {
		higher := p.candidate == nil || p.named(m) > p.candidate.generation() && !p.rejected[p.named(m)]
		if p.answered[m.Name] || len(p.pulls) >= firstAskPeers || answers+len(p.pulls) >= firstAskPeers && !higher {
			continue
		}
		effects = append(effects, p.pullFrom(m.Name)...)
	}
	if len(p.pulls) == 0 && len(others) > 0 {
		p.answered = make(map[cassiaid.VMName]bool)
		p.pullBackoff.fail(p.config.Clock.Now(), p.config.Rand)
	}
	return effects
}

// named returns the generation that a member is known to have.
func (p *Propagation) named(m Member) cassiaid.Generation { return max(m.Generation, p.heard[m.Name]) }

// bestSource returns a VM that names the highest generation above the one in force, one of the own zone first.
func (p *Propagation) bestSource() (cassiaid.VMName, bool) {
	highest := p.highestNamed()
	if !p.newer(highest) {
		return "", false
	}
	var near, far []cassiaid.VMName
	for _, m := range p.others {
		switch {
		case p.named(m) != highest:
		case m.Zone == p.config.Zone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	for name, g := range p.heard {
		if g == highest && !slices.Contains(near, name) && !slices.Contains(far, name) {
			far = append(far, name)
		}
	}
	if len(near) == 0 {
		near = far
	}
	slices.Sort(near)
	return near[p.config.Rand.IntN(len(near))], true
}

func (p *Propagation) pullFrom(from cassiaid.VMName) []Effect {
	if p.pulls[from] {
		return nil
	}
	p.pulls[from] = true
	request := &cassiaschema.SettingsRequest{HaveGeneration: uint64(p.tree.Generation()), Have: p.have()}
	return []Effect{Pull{From: from, Request: request}, Count{CountPull}}
}

// have lists the edits that need not be sent again.
func (p *Propagation) have() []*cassiaschema.SubtreeHead {
	have := slices.Clone(p.tree.Head().GetSubtrees())
	for _, e := range p.staged {
		have = append(have, &cassiaschema.SubtreeHead{Subtree: e.GetSubtree(), Revision: e.GetRevision(), EditId: e.GetEditId()})
	}
	slices.SortFunc(have, func(a, b *cassiaschema.SubtreeHead) int { return cmp.Compare(a.GetEditId(), b.GetEditId()) })
	return have
}
