package cassiasettings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Proposal is a request to replace the text of a subtree.
type Proposal struct {
	Subtree Subtree
	// Base is the revision of the subtree that YAML was derived from, 0 for a new subtree.
	Base   cassiaid.Revision
	EditID EditID
	Author string
	Time   time.Time
	YAML   []byte
}

// AcceptedEdit holds what has to be written to the store for a valid proposal: first Edit, then Head, which replaces
// the head that was read.
type AcceptedEdit struct {
	Edit *cassiaschema.SettingsEdit
	Head *cassiaschema.SettingsHead
	// Tree is the settings tree that is in force once Head is written.
	Tree *Tree
}

// ConflictError reports that a proposal is based on a revision of the subtree that is not in force.
type ConflictError struct {
	Subtree Subtree           `json:"subtree"`
	Base    cassiaid.Revision `json:"baseRevision"`
	InForce cassiaid.Revision `json:"inForceRevision"`
	EditID  EditID            `json:"inForceEditId"`
	Author  string            `json:"inForceAuthor"`
	// Diff is the unified diff from the base revision to the one in force. Propose leaves it empty, because it does not
	// have the base text; the caller sets it.
	Diff string `json:"diff"`
}

// Error returns both revisions and how to apply the edit on top of the one in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("subtree %q is at revision %d (edit %s by %s), not at revision %d that the edit is based on; "+
		"merge the difference below into the file, then apply it with --base-revision %d",
		e.Subtree, e.InForce, e.EditID, e.Author, e.Base, e.InForce)
}

// Propose validates a proposal against the tree in force and returns what has to be written to the store. It returns a
// ConflictError if the base revision is not in force and an InvalidError if the resulting tree is invalid.
func Propose(inForce *Tree, p Proposal) (*AcceptedEdit, error) {
	if inForce.Revision(p.Subtree) != p.Base {
		edit := inForce.Edit(p.Subtree)
		return nil, &ConflictError{Subtree: p.Subtree, Base: p.Base, InForce: inForce.Revision(p.Subtree),
			EditID: EditID(edit.GetEditId()), Author: edit.GetAuthor()}
	}
	edit := &cassiaschema.SettingsEdit{
		Subtree:        string(p.Subtree),
		Revision:       uint64(p.Base) + 1,
		EditId:         string(p.EditID),
		PreviousEditId: inForce.Edit(p.Subtree).GetEditId(),
		Author:         p.Author,
		UnixMillis:     p.Time.UnixMilli(),
		Yaml:           p.YAML,
	}
	head := nextHead(inForce.Head(), edit)
	tree, err := Build(head, Edits{p.EditID: edit}, inForce)
	if err != nil {
		return nil, err
	}
	if err := problemsError(checkShardMapEpochs(inForce, tree, p.Subtree)); err != nil {
		return nil, err
	}
	return &AcceptedEdit{Edit: edit, Head: head, Tree: tree}, nil
}

func nextHead(head *cassiaschema.SettingsHead, edit *cassiaschema.SettingsEdit) *cassiaschema.SettingsHead {
	next := &cassiaschema.SettingsHead{}
	if head != nil {
		next = proto.Clone(head).(*cassiaschema.SettingsHead)
	}
	next.Generation++
	entry := &cassiaschema.SubtreeHead{Subtree: edit.GetSubtree(), Revision: edit.GetRevision(), EditId: edit.GetEditId()}
	for i, s := range next.GetSubtrees() {
		if s.GetSubtree() == edit.GetSubtree() {
			next.Subtrees[i] = entry
			return next
		}
	}
	next.Subtrees = append(next.Subtrees, entry)
	return next
}

// Diff returns the unified diff between two texts of a subtree, or the text of the error if the diff fails.
func Diff(fromName string, from []byte, toName string, to []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(from)), FromFile: fromName,
		B: difflib.SplitLines(string(to)), ToFile: toName,
		Context: 3,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// ForbiddenError reports that a token does not grant access to a subtree.
type ForbiddenError struct {
	Subtree Subtree
	Detail  string
}

// Error returns why access is denied and how to obtain it.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("subtree %q: %s", e.Subtree, e.Detail)
}

// Authorize checks that a token grants access to a subtree. The administrator token grants access to the root subtree
// only, and a team's token to the subtree of that team only. adminTokenSHA256 is the SHA-256 of the administrator token
// in lower-case hexadecimal; if it is empty, access to the root subtree is denied. It returns a ForbiddenError if
// access is denied.
func Authorize(inForce *Tree, adminTokenSHA256 string, subtree Subtree, token string) error {
	sum := sha256.Sum256([]byte(token))
	givenSHA256 := hex.EncodeToString(sum[:])
	if subtree == RootSubtree {
		if adminTokenSHA256 == "" {
			return &ForbiddenError{subtree, "no administrator token is configured; set adminTokenSha256 in the VM's configuration"}
		}
		return compareToken(subtree, givenSHA256, adminTokenSHA256)
	}
	for _, team := range inForce.Root().GetTeams() {
		if team.GetName() == string(subtree) {
			return compareToken(subtree, givenSHA256, team.GetTokenSha256())
		}
	}
	return &ForbiddenError{subtree, "the root settings do not list this team; ask the administrators to add it to teams"}
}

func compareToken(subtree Subtree, givenSHA256, wantSHA256 string) error {
	if subtle.ConstantTimeCompare([]byte(givenSHA256), []byte(wantSHA256)) == 1 {
		return nil
	}
	return &ForbiddenError{subtree, "the token does not grant access; use the token of the subtree's owner"}
}
