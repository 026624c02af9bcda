package cassiatree

import (
	"context"
	"errors"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
)

const (
	headKey     = "settings/head"
	editsPrefix = "settings/edits/"
)

func editKey(subtree cassiasettings.Subtree, id cassiasettings.EditID) string {
	return editsPrefix + string(subtree) + "/" + string(id)
}

// decode unmarshals a stored message; the type parameters spare callers a type assertion.
func decode[M any, P interface {
	*M
	proto.Message
}](entry cassiastore.Entry) (P, error) {
	m := P(new(M))
	if err := proto.Unmarshal(entry.Value, m); err != nil {
		return nil, eris.Wrapf(err, "store key %s holds no readable settings; restore it from the platform's backup", entry.Key)
	}
	return m, nil
}

func decodeHead(entry cassiastore.Entry) (*cassiaschema.SettingsHead, error) {
	if entry.Revision == 0 {
		return nil, nil
	}
	return decode[cassiaschema.SettingsHead](entry)
}

// getEdit returns an edit, from the tree in force if it is there, else from the store; nil if there is none.
func (s *Service) getEdit(ctx context.Context, subtree cassiasettings.Subtree, id cassiasettings.EditID) (*cassiaschema.SettingsEdit, error) {
	if edit := s.Current().Edit(subtree); edit.GetEditId() == string(id) && id != "" {
		return edit, nil
	}
	entry, err := s.config.Store.Get(ctx, editKey(subtree, id))
	if err != nil || entry.Revision == 0 {
		return nil, err
	}
	return decode[cassiaschema.SettingsEdit](entry)
}

func (s *Service) readHead(ctx context.Context, e cassiasettings.ReadHead) cassiasettings.Message {
	entry, err := s.config.Store.Get(ctx, headKey)
	if err != nil {
		return s.storeFailed(e.Call, err)
	}
	return s.headRead(e.Call, entry)
}

func (s *Service) watchHead(ctx context.Context, e cassiasettings.WatchHead) cassiasettings.Message {
	entry, changed, err := s.config.Store.Watch(ctx, headKey, cassiastore.Revision(e.After), s.config.WatchWait)
	switch {
	case err != nil:
		return s.storeFailed(e.Call, err)
	case !changed:
		return cassiasettings.HeadUnchanged{Call: e.Call}
	}
	return s.headRead(e.Call, entry)
}

func (s *Service) headRead(call cassiasettings.CallID, entry cassiastore.Entry) cassiasettings.Message {
	head, err := decodeHead(entry)
	if err != nil {
		return s.storeFailed(call, err)
	}
	return cassiasettings.HeadRead{Call: call, Head: head, Revision: uint64(entry.Revision)}
}

func (s *Service) storeFailed(call cassiasettings.CallID, err error) cassiasettings.Message {
	if !errors.Is(err, context.Canceled) {
		_ = level.Warn(s.config.Logger).Log("msg", "could not read settings from the store; retrying", "err", err)
	}
	return cassiasettings.StoreFailed{Call: call}
}

func (s *Service) fetchEdits(ctx context.Context, e cassiasettings.FetchEdits) cassiasettings.Message {
	var edits []*cassiaschema.SettingsEdit
	for _, h := range e.Subtrees {
		edit, err := s.getEdit(ctx, cassiasettings.Subtree(h.GetSubtree()), cassiasettings.EditID(h.GetEditId()))
		if err == nil && edit == nil {
			err = eris.Errorf("edit %s of subtree %s is not in the store", h.GetEditId(), h.GetSubtree())
		}
		if err != nil {
			return s.storeFailed(e.Call, err)
		}
		edits = append(edits, edit)
	}
	return cassiasettings.EditsRead{Call: e.Call, Edits: edits}
}
