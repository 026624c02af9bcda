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

// Proposal is an operator's wish to replace the text of a subtree.
type Proposal struct {
	Subtree Subtree
	// Base is the revision that the operator's text was written against.
	Base   cassiaid.Revision
	EditID EditID
	Author string
	Time   time.Time
	YAML   []byte
}

// Accept is what a valid proposal asks the store to write: first the edit, then the head in place of the one read.
type Accept struct {
	Edit *cassiaschema.SettingsEdit
	Head *cassiaschema.SettingsHead
	// Tree is the whole tree once the head is written.
	Tree *Tree
}

// ConflictError refuses a proposal that was written against a revision no longer in force.
type ConflictError struct {
	Subtree Subtree           `json:"subtree"`
	Base    cassiaid.Revision `json:"baseRevision"`
	InForce cassiaid.Revision `json:"inForceRevision"`
	EditID  EditID            `json:"inForceEditId"`
	Author  string            `json:"inForceAuthor"`
	// Diff shows what changed between the two, as a unified diff.
	Diff string `json:"diff"`
}

// Error says which revision is in force and how to go on.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("subtree %q is at revision %d (edit %s by %s), not at %d on which the edit is based; "+
		"take the difference below into the file, then apply it with --base-revision %d",
		e.Subtree, e.InForce, e.EditID, e.Author, e.Base, e.InForce)
}

// Propose checks a proposal against the tree in force and returns what to write.
func Propose(inForce *Tree, p Proposal) (*Accept, error) {
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
	return &Accept{Edit: edit, Head: head, Tree: tree}, nil
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

// Diff returns the unified difference between two texts of a subtree.
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

// ForbiddenError refuses a token that does not open a subtree.
type ForbiddenError struct {
	Subtree Subtree
	Detail  string
}

// Error says what the token lacks and how to get one that opens the subtree.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("subtree %q: %s", e.Subtree, e.Detail)
}

// Authorize checks that a token opens a subtree: the administrators' token the root, a team's token its own subtree.
func Authorize(inForce *Tree, adminTokenSHA256 string, subtree Subtree, token string) error {
	sum := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(sum[:])
	if subtree == RootSubtree {
		if adminTokenSHA256 == "" {
			return &ForbiddenError{subtree, "no administrators' token is set; set adminTokenSha256 in the VM's configuration"}
		}
		return compareToken(subtree, given, adminTokenSHA256)
	}
	for _, team := range inForce.Root().GetTeams() {
		if team.GetName() == string(subtree) {
			return compareToken(subtree, given, team.GetTokenSha256())
		}
	}
	return &ForbiddenError{subtree, "the root settings list no such team; let the administrators add it to teams"}
}

func compareToken(subtree Subtree, given, want string) error {
	if subtle.ConstantTimeCompare([]byte(given), []byte(want)) == 1 {
		return nil
	}
	return &ForbiddenError{subtree, "the token does not open it; use the token of this subtree's owner"}
}
