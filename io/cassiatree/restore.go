package cassiatree

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
)

// StoreBehindError reports that the store has lost accepted edits, for example because it was restored from an old
// backup.
type StoreBehindError struct {
	// Stored is the generation in the store, InForce the highest one in force on this VM or a live member.
	Stored, InForce cassiaid.Generation
}

// Error suggests running settings restore.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store holds generation %d, but %d is in force: it has lost accepted edits; "+
		"run settings restore to write what is in force back, then apply again", e.Stored, e.InForce)
}

// highestGeneration returns the highest generation that this VM or a live member has reported as in force.
func (s *Service) highestGeneration() cassiaid.Generation {
	highest := s.Generation()
	for _, m := range s.config.Members.Live() {
		highest = max(highest, m.Generation)
	}
	return highest
}

// restore writes the tree in force on this VM to a store whose generation is lower. It refuses if a live member has a
// higher generation in force.
func (s *Service) restore(ctx context.Context, info requestInfo, _ emptyBody) (GenerationsReply, error) {
	tree := s.Current()
	if err := cassiasettings.Authorize(tree, s.config.AdminTokenSHA256, cassiasettings.RootSubtree, info.token); err != nil {
		return GenerationsReply{}, err
	}
	entry, err := s.config.Store.Get(ctx, headKey)
	if err != nil {
		return GenerationsReply{}, &UnavailableError{err}
	}
	head, err := decodeHead(entry)
	if err != nil {
		return GenerationsReply{}, err
	}
	if cassiaid.Generation(head.GetGeneration()) >= tree.Generation() {
		return GenerationsReply{}, badRequest("the store is not behind this VM; there is nothing to restore")
	}
	if s.highestGeneration() > tree.Generation() {
		return GenerationsReply{}, badRequest("another VM has a higher generation in force; run restore on that one, see cassiasaddle status")
	}
	if err := s.writeBack(ctx, tree, entry.Revision); err != nil {
		return GenerationsReply{}, err
	}
	return GenerationsReply{Generation: tree.Generation(), Members: s.memberGenerations()}, nil
}

func (s *Service) writeBack(ctx context.Context, tree *cassiasettings.Tree, revision cassiastore.Revision) error {
	for _, edit := range tree.Edits() {
		content, err := proto.Marshal(edit)
		if err != nil {
			return eris.Wrap(err, "encode settings edit")
		}
		key := editKey(cassiasettings.Subtree(edit.GetSubtree()), cassiasettings.EditID(edit.GetEditId()))
		_, err = s.config.Store.Put(ctx, key, content, 0)
		var storeError *cassiastore.Error
		if err != nil && (!errors.As(err, &storeError) || storeError.Kind != cassiastore.Conflict) {
			return &UnavailableError{err}
		}
	}
	content, err := proto.Marshal(tree.Head())
	if err != nil {
		return eris.Wrap(err, "encode settings head")
	}
	if _, err := s.config.Store.Put(ctx, headKey, content, revision); err != nil {
		return eris.Wrap(err, "the head was perhaps not written; run restore again")
	}
	s.count("restored")
	return nil
}
