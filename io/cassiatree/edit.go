package cassiatree

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
)

const (
	// applyTimeout bounds how long an edit is retried while the store fails.
	applyTimeout      = 8 * time.Second
	retryBackoffBase  = 50 * time.Millisecond
	retryBackoffLimit = 500 * time.Millisecond
	maxHistoryEntries = 1000
)

// ApplyReply is the reply to apply and rollback: it identifies the accepted edit by its revision, a generation that
// contains it and its edit id.
type ApplyReply struct {
	Subtree  cassiasettings.Subtree `json:"subtree"`
	Revision cassiaid.Revision      `json:"revision"`
	// Generation is a generation at which the edit is in force.
	Generation cassiaid.Generation   `json:"generation"`
	EditID     cassiasettings.EditID `json:"editId"`
}

// UnavailableError reports that the store could not be reached and that nothing was changed.
type UnavailableError struct{ Cause error }

// Error explains that nothing was changed and that the edit can be tried again later.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform's store cannot be reached, nothing was changed; try again later: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// storeReadError returns err as a StoreBehindError if it is one, else wrapped in an UnavailableError.
func storeReadError(err error) error {
	var behind *StoreBehindError
	if errors.As(err, &behind) {
		return behind
	}
	return &UnavailableError{err}
}

// OutcomeUnknownError reports that an edit may or may not have been accepted.
type OutcomeUnknownError struct {
	Subtree cassiasettings.Subtree
	EditID  cassiasettings.EditID
	Cause   error
}

// Error explains how to find out the outcome.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the edit was sent to the store, which then could not be read; it may be accepted or not; "+
		"once the store is back run `settings get --subtree %s --edit %s`, or apply again with --edit %s, which never applies it twice: %v",
		e.Subtree, e.EditID, e.EditID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// EditIDUsedError reports that an edit id was already used for another text or another base revision.
type EditIDUsedError struct{ EditID cassiasettings.EditID }

// Error suggests using a new edit id.
func (e *EditIDUsedError) Error() string {
	return fmt.Sprintf("edit id %s was used before for another text or base revision; leave --edit out to get a new id", e.EditID)
}

// storedTree is the tree read from the store and the store revision of its head.
type storedTree struct {
	tree         *cassiasettings.Tree
	headRevision cassiastore.Revision
}

// editor plans one proposal, or applies it to the store, with retries until its outcome is known or applyTimeout has
// passed.
type editor struct {
	service  *Service
	proposal cassiasettings.Proposal
	token    string
	// writeUnconfirmed is true while a write of the head whose reply was lost may still take effect. The write was
	// conditional on unconfirmedRevision, so it can no longer take effect once the head is at another revision.
	writeUnconfirmed    bool
	unconfirmedRevision cassiastore.Revision
}

// Apply writes an edit to the store. It retries for up to 8 s while the store fails. It then returns an
// UnavailableError if nothing was changed, or an OutcomeUnknownError if the edit may have been accepted. If it refuses
// the edit, the error is a ConflictError, InvalidError, ForbiddenError, EditIDUsedError or StoreBehindError. An edit id
// is never applied twice.
func (s *Service) Apply(ctx context.Context, p cassiasettings.Proposal, token string) (ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	p.Time = s.config.Clock.Now()
	e := &editor{service: s, proposal: p, token: token}
	delay := retryBackoffBase
	for {
		accepted, done, err := e.tryOnce(ctx)
		if done {
			s.countOutcome(err)
			return accepted, err
		}
		if !s.sleep(ctx, delay) {
			accepted, err = e.outcomeAfterTimeout(err)
			s.countOutcome(err)
			return accepted, err
		}
		delay = min(2*delay, retryBackoffLimit)
	}
}

// Plan checks a proposal against the tree in the store and returns the change that it would make as a unified diff.
func (s *Service) Plan(ctx context.Context, p cassiasettings.Proposal, token string) (string, error) {
	stored, err := s.readStoredTree(ctx)
	if err != nil {
		return "", storeReadError(err)
	}
	e := &editor{service: s, proposal: p, token: token}
	accepted, err := e.propose(ctx, stored)
	if err != nil {
		return "", err
	}
	name := func(r cassiaid.Revision) string { return fmt.Sprintf("%s revision %d", p.Subtree, r) }
	return cassiasettings.Diff(name(p.Base), stored.tree.Edit(p.Subtree).GetYaml(),
		name(p.Base+1), accepted.Edit.GetYaml()), nil
}

// tryOnce tries once to apply the proposal. The second result is false when another try may succeed or determine the
// outcome.
func (e *editor) tryOnce(ctx context.Context) (ApplyReply, bool, error) {
	stored, err := e.service.readStoredTree(ctx)
	if err != nil {
		var behind *StoreBehindError
		return ApplyReply{}, errors.As(err, &behind), err
	}
	if err := e.authorize(stored); err != nil {
		return ApplyReply{}, true, err
	}
	existing, err := e.service.findEdit(ctx, stored.tree, e.proposal.Subtree, e.proposal.Base,
		func(edit *cassiaschema.SettingsEdit) bool { return edit.GetEditId() == string(e.proposal.EditID) })
	if err != nil {
		return ApplyReply{}, false, err
	}
	if existing != nil {
		return e.acceptedEarlier(stored, existing)
	}
	if stored.headRevision != e.unconfirmedRevision {
		e.writeUnconfirmed = false
	}
	accepted, err := e.propose(ctx, stored)
	if err != nil {
		var storeError *cassiastore.Error
		return ApplyReply{}, !errors.As(err, &storeError), err
	}
	return e.write(ctx, stored, accepted)
}

func (e *editor) authorize(stored storedTree) error {
	return cassiasettings.Authorize(stored.tree, e.service.config.AdminTokenSHA256, e.proposal.Subtree, e.token)
}

func (e *editor) acceptedEarlier(stored storedTree, existing *cassiaschema.SettingsEdit) (ApplyReply, bool, error) {
	if !bytes.Equal(existing.GetYaml(), e.proposal.YAML) {
		return ApplyReply{}, true, &EditIDUsedError{e.proposal.EditID}
	}
	e.service.notifyAccepted(stored.tree)
	return ApplyReply{Subtree: e.proposal.Subtree, Revision: cassiaid.Revision(existing.GetRevision()),
		Generation: stored.tree.Generation(), EditID: e.proposal.EditID}, true, nil
}

// propose checks the proposal; a ConflictError includes the diff from the base revision to the one in force.
func (e *editor) propose(ctx context.Context, stored storedTree) (*cassiasettings.AcceptedEdit, error) {
	if err := e.authorize(stored); err != nil {
		return nil, err
	}
	accepted, err := cassiasettings.Propose(stored.tree, e.proposal)
	var conflict *cassiasettings.ConflictError
	if !errors.As(err, &conflict) {
		return accepted, err
	}
	subtree, base := e.proposal.Subtree, e.proposal.Base
	var before *cassiaschema.SettingsEdit
	if base > 0 && base < conflict.InForce {
		before, err = e.service.findEdit(ctx, stored.tree, subtree, base-1,
			func(edit *cassiaschema.SettingsEdit) bool { return edit.GetRevision() == uint64(base) })
		if err != nil {
			return nil, err
		}
	}
	conflict.Diff = cassiasettings.Diff(fmt.Sprintf("%s revision %d (base)", subtree, base), before.GetYaml(),
		fmt.Sprintf("%s revision %d (in force)", subtree, conflict.InForce), stored.tree.Edit(subtree).GetYaml())
	return nil, conflict
}

// write puts the edit into the store and then the head that refers to it, on the condition that the head is unchanged.
func (e *editor) write(ctx context.Context, stored storedTree, accepted *cassiasettings.AcceptedEdit) (ApplyReply, bool, error) {
	storedEdit, err := e.putEdit(ctx, accepted.Edit)
	if err != nil {
		var used *EditIDUsedError
		var storeError *cassiastore.Error
		tooLarge := errors.As(err, &storeError) && storeError.Kind == cassiastore.TooLarge
		return ApplyReply{}, tooLarge || errors.As(err, &used), err
	}
	accepted.Edit.Author, accepted.Edit.UnixMillis = storedEdit.GetAuthor(), storedEdit.GetUnixMillis()
	head, err := proto.Marshal(accepted.Head)
	if err != nil {
		return ApplyReply{}, true, eris.Wrap(err, "encode settings head")
	}
	_, err = e.service.config.Store.Put(ctx, headKey, head, stored.headRevision)
	var storeError *cassiastore.Error
	switch {
	case err == nil:
		e.service.notifyAccepted(accepted.Tree)
		return ApplyReply{Subtree: e.proposal.Subtree, Revision: cassiaid.Revision(storedEdit.GetRevision()),
			Generation: accepted.Tree.Generation(), EditID: e.proposal.EditID}, true, nil
	case errors.As(err, &storeError) && storeError.Kind == cassiastore.Conflict:
		e.service.count("applyRetryHeadMoved")
	case errors.As(err, &storeError) && storeError.Kind == cassiastore.OutcomeUnknown:
		e.writeUnconfirmed, e.unconfirmedRevision = true, stored.headRevision
		e.service.count("applyRetryReplyLost")
	}
	return ApplyReply{}, false, err
}

// putEdit writes an edit under its id and returns the edit that the store then has there. The store may already have
// the same edit because the reply to an earlier write was lost; if it has another edit, putEdit returns an
// EditIDUsedError.
func (e *editor) putEdit(ctx context.Context, edit *cassiaschema.SettingsEdit) (*cassiaschema.SettingsEdit, error) {
	value, err := proto.Marshal(edit)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings edit")
	}
	key := editKey(e.proposal.Subtree, e.proposal.EditID)
	_, err = e.service.config.Store.Put(ctx, key, value, 0)
	var storeError *cassiastore.Error
	if !errors.As(err, &storeError) || storeError.Kind != cassiastore.Conflict {
		return edit, err
	}
	storedEdit, err := e.service.getEdit(ctx, e.proposal.Subtree, e.proposal.EditID)
	if err != nil {
		return nil, err
	}
	same := bytes.Equal(storedEdit.GetYaml(), edit.GetYaml()) && storedEdit.GetRevision() == edit.GetRevision() &&
		storedEdit.GetPreviousEditId() == edit.GetPreviousEditId()
	if !same {
		return nil, &EditIDUsedError{e.proposal.EditID}
	}
	return storedEdit, nil
}

// outcomeAfterTimeout returns the outcome when there is no time left for a retry. A write whose reply was lost counts as
// accepted if propagation has put the edit in force on this VM in the meantime.
func (e *editor) outcomeAfterTimeout(err error) (ApplyReply, error) {
	inForce := e.service.Current()
	if edit := inForce.Edit(e.proposal.Subtree); edit.GetEditId() == string(e.proposal.EditID) && e.writeUnconfirmed {
		return ApplyReply{Subtree: e.proposal.Subtree, Revision: cassiaid.Revision(edit.GetRevision()),
			Generation: inForce.Generation(), EditID: e.proposal.EditID}, nil
	}
	if e.writeUnconfirmed {
		return ApplyReply{}, &OutcomeUnknownError{Subtree: e.proposal.Subtree, EditID: e.proposal.EditID, Cause: err}
	}
	return ApplyReply{}, &UnavailableError{err}
}

// notifyAccepted passes a tree that was read from the store or written to it to propagation. The message is dropped if
// the inbox is full, since VMs also learn of new settings by watching the store.
func (s *Service) notifyAccepted(tree *cassiasettings.Tree) {
	select {
	case s.inbox <- cassiasettings.EditAccepted{Tree: tree}:
	default:
	}
}

func (s *Service) countOutcome(err error) {
	var unknown *OutcomeUnknownError
	var unavailable *UnavailableError
	var conflict *cassiasettings.ConflictError
	var invalid *cassiasettings.InvalidError
	var forbidden *cassiasettings.ForbiddenError
	switch {
	case err == nil:
		s.count("applyAccepted")
	case errors.As(err, &unknown):
		s.count("applyOutcomeUnknown")
	case errors.As(err, &unavailable):
		s.count("applyUnavailable")
	case errors.As(err, &conflict):
		s.count("applyConflict")
	case errors.As(err, &invalid):
		s.count("applyInvalid")
	case errors.As(err, &forbidden):
		s.count("applyForbidden")
	default:
		s.count("applyFailed")
	}
}

// sleep waits between half of delay and delay, at random, and returns false if ctx is done first.
func (s *Service) sleep(ctx context.Context, delay time.Duration) bool {
	s.mu.Lock()
	delay = delay/2 + time.Duration(s.random.Int64N(int64(delay/2)+1))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-s.config.Clock.After(delay):
		return true
	}
}

// readStoredTree reads the head and all edits that it refers to. It returns a StoreBehindError if the store's generation
// is below the highest one in force on this VM or a live member.
func (s *Service) readStoredTree(ctx context.Context) (storedTree, error) {
	// The generation in force is read before the store: the store may advance in the meantime, but a store that has
	// lost no edits never holds less than a generation that was in force earlier.
	inForce := s.highestGeneration()
	entry, err := s.config.Store.Get(ctx, headKey)
	if err != nil {
		return storedTree{}, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return storedTree{}, err
	}
	if g := cassiaid.Generation(head.GetGeneration()); g < inForce {
		return storedTree{}, &StoreBehindError{Stored: g, InForce: inForce}
	}
	edits := make(cassiasettings.Edits)
	for _, h := range head.GetSubtrees() {
		id := cassiasettings.EditID(h.GetEditId())
		edit, err := s.getEdit(ctx, cassiasettings.Subtree(h.GetSubtree()), id)
		if err != nil {
			return storedTree{}, err
		}
		edits[id] = edit
	}
	tree, err := cassiasettings.Build(head, edits, s.Current())
	if err != nil {
		return storedTree{}, eris.Wrap(err, "the settings in the store cannot be read by this VM; use a VM of the newest version")
	}
	return storedTree{tree: tree, headRevision: entry.Revision}, nil
}

// findEdit walks the history of a subtree backwards from the edit in force, as long as the revision is greater than
// above. It returns the first edit that matches, or nil.
func (s *Service) findEdit(ctx context.Context, tree *cassiasettings.Tree, subtree cassiasettings.Subtree,
	above cassiaid.Revision, match func(*cassiaschema.SettingsEdit) bool) (*cassiaschema.SettingsEdit, error) {
	edit := tree.Edit(subtree)
	for edit != nil && edit.GetRevision() > uint64(above) {
		if match(edit) {
			return edit, nil
		}
		if edit.GetPreviousEditId() == "" {
			return nil, nil
		}
		var err error
		previous := cassiasettings.EditID(edit.GetPreviousEditId())
		if edit, err = s.getEdit(ctx, subtree, previous); err != nil {
			return nil, err
		}
		if edit == nil {
			return nil, eris.Errorf("edit %s of subtree %s is not in the store; restore it from the platform's backup", previous, subtree)
		}
	}
	return nil, nil
}
