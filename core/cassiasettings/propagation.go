package cassiasettings

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	storeBackoffBase = 200 * time.Millisecond
	// storeBackoffLimit is the maximum pause after a failed store call of a watcher.
	storeBackoffLimit = 4 * time.Second
	pullBackoffBase   = 200 * time.Millisecond
	pullBackoffLimit  = 2 * time.Second
	// initialPullPeers is the number of peers that a VM without settings asks before it installs the highest generation
	// among their answers, so that one lagging peer does not decide.
	initialPullPeers = 3
	// storeFallbackDelay is how long a VM that has no settings and is not a watcher waits before it calls the store itself.
	storeFallbackDelay = 10 * time.Second
	// storeFallbackJitter is the maximum random addition to storeFallbackDelay. It keeps VMs that start together from calling
	// the store at the same time.
	storeFallbackJitter = 5 * time.Second
	// storeFallbackBackoffLimit is the maximum pause after a failed store call of a VM that is not a watcher.
	storeFallbackBackoffLimit = 30 * time.Second
)

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// Config holds the identity of this VM and the dependencies of its Propagation.
type Config struct {
	Self  cassiaid.VMName
	Zone  cassiaid.Zone
	Clock Clock
	Rand  *rand.Rand
}

// Propagation is the state machine by which one VM learns of accepted settings, installs them and announces them to other
// VMs. It is not safe for concurrent use.
type Propagation struct {
	config Config
	// fallbackAt is the time from which this VM calls the store even if it is not a watcher, as long as it has no settings.
	fallbackAt time.Time

	tree *Tree
	// rejected holds the generations above the one in force that failed validation on this VM.
	rejected map[cassiaid.Generation]bool

	// members holds the live members, including this VM.
	members []Member
	// peers holds the members without this VM.
	peers    []Member
	watchers map[cassiaid.Zone][]cassiaid.VMName
	watching bool
	// announced holds, for each VM that sent a digest, the highest generation above the one in force that it named.
	announced map[cassiaid.VMName]cassiaid.Generation

	candidate *candidate
	// staged holds edits that have been received but are not in force.
	staged Edits

	pullsInFlight map[cassiaid.VMName]bool
	pullBackoff   backoff
	// polled holds the peers whose pull has succeeded or failed. A VM without settings asks none of them again until
	// initialPulls has no peer left to ask and clears polled.
	polled map[cassiaid.VMName]bool

	store storeCall
}

// candidate is the head of a generation that this VM may install next. Some of its edits may still be missing.
type candidate struct {
	head *cassiaschema.SettingsHead
	// from is the VM that sent the head, or empty if it came from the store.
	from cassiaid.VMName
}

func (c *candidate) generation() cassiaid.Generation {
	return cassiaid.Generation(c.head.GetGeneration())
}

// NewPropagation returns a Propagation with no settings in force.
func NewPropagation(config Config) *Propagation {
	return &Propagation{
		config:        config,
		fallbackAt:    config.Clock.Now().Add(storeFallbackDelay + time.Duration(config.Rand.Int64N(int64(storeFallbackJitter)))),
		rejected:      make(map[cassiaid.Generation]bool),
		announced:     make(map[cassiaid.VMName]cassiaid.Generation),
		staged:        make(Edits),
		pullsInFlight: make(map[cassiaid.VMName]bool),
		pullBackoff:   backoff{base: pullBackoffBase, limit: pullBackoffLimit},
		polled:        make(map[cassiaid.VMName]bool),
		store:         storeCall{backoff: backoff{base: storeBackoffBase, limit: storeFallbackBackoffLimit}},
	}
}

// Tree returns the tree in force, or nil when there is none yet.
func (p *Propagation) Tree() *Tree { return p.tree }

// Watching reports whether this VM is one of its zone's watchers of the store.
func (p *Propagation) Watching() bool { return p.watching }

// Update handles a message and returns the effects that the caller has to perform, in order.
func (p *Propagation) Update(m Message) []Effect {
	var effects []Effect
	switch m := m.(type) {
	case MembersChanged:
		effects = p.membersChanged(m.Members)
	case DigestReceived:
		effects = p.digestReceived(m)
	case StateReceived:
		effects = p.stateReceived(m)
	case PullFailed:
		effects = p.pullFailed(m.From)
	case HeadRead:
		effects = p.headRead(m)
	case HeadUnchanged:
		p.store.finish(m.Call)
	case EditsRead:
		p.store.finish(m.Call)
		p.stageEdits(m.Edits)
	case StoreFailed:
		effects = p.storeFailed(m.Call)
	case EditAccepted:
		p.stageEdits(m.Tree.Edits())
		effects = p.updateCandidate(m.Tree.Head(), "")
	}
	return p.advance(effects)
}

// advance appends the effects of every step that is possible after a message: installing the candidate, pulling from
// peers and calling the store.
func (p *Propagation) advance(effects []Effect) []Effect {
	if !p.mayCallStore() {
		p.dropIncompleteCandidate("")
	}
	effects = append(effects, p.install()...)
	effects = append(effects, p.pull()...)
	return append(effects, p.callStore()...)
}

func (p *Propagation) membersChanged(members []Member) []Effect {
	self := Member{Name: p.config.Self, Zone: p.config.Zone}
	p.members, p.peers = append(p.members[:0], self), p.peers[:0]
	for _, m := range members {
		if m.Name != self.Name {
			p.members = append(p.members, m)
			p.peers = append(p.peers, m)
		}
	}
	p.watchers = Watchers(p.members)
	watching := slices.Contains(p.watchers[p.config.Zone], p.config.Self)
	if watching == p.watching {
		return nil
	}
	p.watching = watching
	if watching {
		p.store.backoff.limit = storeBackoffLimit
		return []Effect{Count{CountBecameWatcher}}
	}
	p.store.backoff.limit = storeFallbackBackoffLimit
	p.dropIncompleteCandidate("")
	return append(p.store.stopWatch(), Count{CountStoppedWatcher})
}

func (p *Propagation) digestReceived(m DigestReceived) []Effect {
	if p.eligible(m.Generation) {
		p.announced[m.From] = max(m.Generation, p.announced[m.From])
	}
	return []Effect{Count{CountDigestReceived}}
}

func (p *Propagation) stateReceived(m StateReceived) []Effect {
	head := m.State.GetHead()
	missingBefore := len(p.missingEdits(head))
	delete(p.pullsInFlight, m.From)
	delete(p.announced, m.From)
	p.polled[m.From] = true
	p.stageEdits(m.State.GetEdits())
	if missingAfter := len(p.missingEdits(head)); head == nil || missingAfter > 0 && missingAfter == missingBefore {
		p.dropIncompleteCandidate(m.From)
		p.pullBackoff.fail(p.config.Clock.Now(), p.config.Rand)
		return nil
	}
	if p.tree != nil && !p.eligible(cassiaid.Generation(head.GetGeneration())) {
		p.pullBackoff.fail(p.config.Clock.Now(), p.config.Rand)
		return []Effect{Count{CountPeerBehind}}
	}
	p.pullBackoff.reset()
	return p.updateCandidate(head, m.From)
}

func (p *Propagation) pullFailed(from cassiaid.VMName) []Effect {
	delete(p.pullsInFlight, from)
	delete(p.announced, from)
	p.polled[from] = true
	p.dropIncompleteCandidate(from)
	p.pullBackoff.fail(p.config.Clock.Now(), p.config.Rand)
	return []Effect{Count{CountPullFailed}}
}

// dropIncompleteCandidate drops the candidate if it came from the given source and edits are still missing. It is called
// when that source can no longer supply them.
func (p *Propagation) dropIncompleteCandidate(from cassiaid.VMName) {
	if p.candidate != nil && p.candidate.from == from && len(p.missingEdits(p.candidate.head)) > 0 {
		p.candidate = nil
	}
}

// eligible reports whether a generation is above the one in force, 0 without settings, and was not rejected.
func (p *Propagation) eligible(g cassiaid.Generation) bool {
	return !p.rejected[g] && g > p.tree.Generation()
}

func (p *Propagation) stageEdits(edits []*cassiaschema.SettingsEdit) {
	for _, e := range edits {
		p.staged[EditID(e.GetEditId())] = e
	}
}

// updateCandidate makes a head the candidate unless its generation was rejected, or is not above that of the settings
// in force or of the present candidate. Without settings and candidate, any generation will do. At the same generation
// a head from the store replaces one from a peer.
func (p *Propagation) updateCandidate(head *cassiaschema.SettingsHead, from cassiaid.VMName) []Effect {
	next := &candidate{head: head, from: from}
	g := next.generation()
	if p.rejected[g] || p.tree != nil && g <= p.tree.Generation() {
		if from == "" && g < p.tree.Generation() {
			return []Effect{Count{CountStoreBehind}}
		}
		return nil
	}
	if p.candidate == nil || g > p.candidate.generation() || g == p.candidate.generation() && from == "" {
		p.candidate = next
		p.pruneStaged()
	}
	return nil
}

// pruneStaged removes staged edits that the candidate does not name.
func (p *Propagation) pruneStaged() {
	named := make(map[EditID]bool)
	for _, s := range p.candidate.head.GetSubtrees() {
		named[EditID(s.GetEditId())] = true
	}
	for id := range p.staged {
		if !named[id] {
			delete(p.staged, id)
		}
	}
}

// missingEdits returns the edits that a head names and that are neither staged nor in force on this VM.
func (p *Propagation) missingEdits(head *cassiaschema.SettingsHead) []*cassiaschema.SubtreeHead {
	var missing []*cassiaschema.SubtreeHead
	for _, s := range head.GetSubtrees() {
		if p.staged[EditID(s.GetEditId())] == nil && p.tree.Edit(Subtree(s.GetSubtree())).GetEditId() != s.GetEditId() {
			missing = append(missing, s)
		}
	}
	return missing
}

// install puts the candidate in force if all its edits are present and it is valid. A VM without settings also waits until
// initialCandidateReady holds. An invalid candidate is rejected.
func (p *Propagation) install() []Effect {
	if p.candidate == nil || len(p.missingEdits(p.candidate.head)) > 0 || p.tree == nil && !p.initialCandidateReady() {
		return nil
	}
	next := p.candidate
	p.candidate = nil
	tree, err := Build(next.head, p.staged, p.tree)
	if err == nil {
		err = checkRevisions(p.tree, tree)
	}
	if err != nil {
		p.rejected[next.generation()] = true
		p.discardObsolete()
		return []Effect{Reject{Generation: next.generation(), Reason: err}, Count{CountRejected}}
	}
	p.tree = tree
	p.discardObsolete()
	return append([]Effect{Install{Tree: tree}, Count{CountInstalled}}, p.pushDigest(next.from == "")...)
}

// discardObsolete removes staged edits, announcements and rejected generations that are no longer needed after a
// generation was installed or rejected.
func (p *Propagation) discardObsolete() {
	p.staged = make(Edits)
	for name, g := range p.announced {
		if !p.eligible(g) {
			delete(p.announced, name)
		}
	}
	for g := range p.rejected {
		if p.tree != nil && g <= p.tree.Generation() {
			delete(p.rejected, g)
		}
	}
}

// checkRevisions returns an error if a subtree has a lower revision in after than in before, which must not happen even
// at a higher generation.
func checkRevisions(before, after *Tree) error {
	for _, s := range before.Head().GetSubtrees() {
		if r := after.Revision(Subtree(s.GetSubtree())); uint64(r) < s.GetRevision() {
			return problemsError([]Problem{{Kind: ProblemDowngrade, File: s.GetSubtree(),
				Detail: fmt.Sprintf("revision %d is lower than %d, which is in force", r, s.GetRevision()),
				Remedy: "roll back with settings rollback, which makes a new revision"}})
		}
	}
	return nil
}

// pushDigest announces the generation in force to this VM's children in the distribution tree of its zone. If this VM is
// a watcher or has the generation from the store, including an edit that it wrote itself, pushDigest also announces it to
// the watchers of all zones. VMs known to have the generation are left out.
func (p *Propagation) pushDigest(fromStore bool) []Effect {
	if p.tree.Generation() == 0 {
		return nil
	}
	memberGenerations := make(map[cassiaid.VMName]cassiaid.Generation, len(p.peers))
	for _, m := range p.peers {
		memberGenerations[m.Name] = m.Generation
	}
	to := children(p.members, p.config.Zone, p.config.Self)
	if p.watching || fromStore {
		for _, zone := range slices.Sorted(maps.Keys(p.watchers)) {
			to = append(to, p.watchers[zone]...)
		}
	}
	slices.Sort(to)
	to = slices.DeleteFunc(slices.Compact(to), func(name cassiaid.VMName) bool {
		return name == p.config.Self || memberGenerations[name] >= p.tree.Generation()
	})
	if len(to) == 0 {
		return nil
	}
	return []Effect{PushDigest{To: to, Generation: p.tree.Generation()}, Count{CountDigestPushed}}
}

// ErrNotReady reports that this VM has no settings yet.
var ErrNotReady = errors.New("no settings yet: neither the store nor another VM has answered; check platformAddress and the peers")
