package cassiatree

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// authorizeRead allows everyone with access to the operator port to read a team's subtree; reading the root subtree
// requires the administrators' token.
func (s *Service) authorizeRead(tree *cassiasettings.Tree, info requestInfo) error {
	if info.subtree != cassiasettings.RootSubtree {
		return nil
	}
	return cassiasettings.Authorize(tree, s.config.AdminTokenSHA256, info.subtree, info.token)
}

// get returns the edit with the given id, else the one at the given revision, else the one in force.
func (s *Service) get(ctx context.Context, info requestInfo, _ emptyBody) (EditReply, error) {
	if err := s.authorizeRead(s.Current(), info); err != nil {
		return EditReply{}, err
	}
	revision, err := uintParameter(info, "revision")
	if err != nil {
		return EditReply{}, err
	}
	stored, err := s.readStoredTree(ctx)
	id := cassiasettings.EditID(info.parameter("edit"))
	if err != nil {
		return s.getInForce(info.subtree, id, cassiaid.Revision(revision), err)
	}
	edit := stored.tree.Edit(info.subtree)
	switch {
	case id != "":
		return s.getByID(ctx, stored.tree, info.subtree, id)
	case revision != 0:
		edit, err = s.editAtRevision(ctx, stored.tree, info.subtree, cassiaid.Revision(revision))
	}
	if err != nil {
		return EditReply{}, err
	}
	if edit == nil {
		return EditReply{}, notFound(fmt.Sprintf("subtree %q does not exist; apply it with --base-revision 0", info.subtree))
	}
	return editReply(edit, stored.tree, true, true), nil
}

// getInForce returns the edit in force on this VM, for use while the store cannot be read. It returns an error made from
// cause if the request is for another edit.
func (s *Service) getInForce(subtree cassiasettings.Subtree, id cassiasettings.EditID, revision cassiaid.Revision,
	cause error) (EditReply, error) {
	edit := s.Current().Edit(subtree)
	matches := edit != nil && (id == "" || string(id) == edit.GetEditId()) &&
		(revision == 0 || uint64(revision) == edit.GetRevision())
	if !matches {
		return EditReply{}, storeReadError(cause)
	}
	reply := editReply(edit, s.Current(), true, true)
	reply.StoreRead = false
	return reply, nil
}

// getByID returns the edit with the given id, whether or not it was accepted, or a notFound error.
func (s *Service) getByID(ctx context.Context, tree *cassiasettings.Tree, subtree cassiasettings.Subtree,
	id cassiasettings.EditID) (EditReply, error) {
	edit, err := s.getEdit(ctx, subtree, id)
	if err != nil {
		return EditReply{}, err
	}
	if edit == nil {
		return EditReply{}, notFound(fmt.Sprintf("edit %s never reached the store, so it was not accepted; apply it again", id))
	}
	found, err := s.findEdit(ctx, tree, subtree, cassiaid.Revision(edit.GetRevision()-1),
		func(e *cassiaschema.SettingsEdit) bool { return e.GetEditId() == string(id) })
	if err != nil {
		return EditReply{}, err
	}
	return editReply(edit, tree, found != nil, true), nil
}

// editAtRevision returns the accepted edit of a revision, or a notFound error.
func (s *Service) editAtRevision(ctx context.Context, tree *cassiasettings.Tree, subtree cassiasettings.Subtree,
	revision cassiaid.Revision) (*cassiaschema.SettingsEdit, error) {
	missing := notFound(fmt.Sprintf("subtree %q has no revision %d; see settings history", subtree, revision))
	if revision == 0 {
		return nil, missing
	}
	edit, err := s.findEdit(ctx, tree, subtree, revision-1,
		func(e *cassiaschema.SettingsEdit) bool { return e.GetRevision() == uint64(revision) })
	if err != nil {
		return nil, err
	}
	if edit == nil {
		return nil, missing
	}
	return edit, nil
}

func (s *Service) history(ctx context.Context, info requestInfo, _ emptyBody) (HistoryReply, error) {
	if err := s.authorizeRead(s.Current(), info); err != nil {
		return HistoryReply{}, err
	}
	limit, err := uintParameter(info, "limit")
	if err != nil {
		return HistoryReply{}, err
	}
	if limit == 0 {
		limit = defaultHistoryEntries
	}
	limit = min(limit, maxHistoryEntries)
	stored, err := s.readStoredTree(ctx)
	if err != nil {
		return HistoryReply{}, storeReadError(err)
	}
	var reply HistoryReply
	_, err = s.findEdit(ctx, stored.tree, info.subtree, 0, func(e *cassiaschema.SettingsEdit) bool {
		entry := editReply(e, stored.tree, true, false)
		reply.Edits = append(reply.Edits, entry)
		return uint64(len(reply.Edits)) >= limit
	})
	return reply, err
}

func editReply(e *cassiaschema.SettingsEdit, tree *cassiasettings.Tree, accepted, withText bool) EditReply {
	subtree := cassiasettings.Subtree(e.GetSubtree())
	reply := EditReply{Subtree: subtree, Revision: cassiaid.Revision(e.GetRevision()),
		EditID: cassiasettings.EditID(e.GetEditId()), Author: e.GetAuthor(), Time: time.UnixMilli(e.GetUnixMillis()).UTC(),
		Bytes: len(e.GetYaml()), Accepted: accepted, StoreRead: true,
		InForce: tree.Edit(subtree).GetEditId() == e.GetEditId()}
	if withText {
		reply.YAML = string(e.GetYaml())
	}
	return reply
}

// askMembers asks each member that is not known to have reached the wanted generation for its current generation.
// Members that do not reply are skipped.
func (s *Service) askMembers(ctx context.Context, wanted cassiaid.Generation) {
	var asks errgroup.Group
	asks.SetLimit(maxParallelCalls)
	for _, m := range s.memberGenerations() {
		if m.Generation >= wanted || m.Name == s.config.Self {
			continue
		}
		asks.Go(func() error {
			if g, err := s.requestGeneration(ctx, m.Name); err == nil {
				s.recordConfirmed(m.Name, g)
			}
			return nil
		})
	}
	_ = asks.Wait()
}

func (s *Service) recordConfirmed(name cassiaid.VMName, g cassiaid.Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed[name] = g
}

func (s *Service) memberGenerations() []MemberGeneration {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[cassiaid.VMName]cassiaid.Generation)
	members := []MemberGeneration{{Name: s.config.Self, AvailabilityZone: s.config.Zone, Generation: s.Generation()}}
	for _, m := range s.config.Members.Live() {
		if m.Name == s.config.Self {
			continue
		}
		g := max(m.Generation, s.confirmed[m.Name])
		live[m.Name] = g
		members = append(members, MemberGeneration{Name: m.Name, AvailabilityZone: m.Zone, Generation: g})
	}
	for name := range s.confirmed {
		if _, ok := live[name]; !ok {
			delete(s.confirmed, name)
		}
	}
	return members
}
