package cassiasettings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
)

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func rootText(teams ...string) string {
	text := "teams:\n"
	for _, team := range teams {
		text += fmt.Sprintf("  - {name: %s, tokenSha256: %s}\n", team, hash(team))
	}
	return text
}

// mustPropose returns the tree after one more edit. It fails the test if the edit is refused.
func mustPropose(t testing.TB, tree *Tree, subtree Subtree, yaml string) *Tree {
	id := EditID(fmt.Sprintf("edit-%d", tree.Generation()+1))
	accepted, err := Propose(tree, Proposal{Subtree: subtree, Base: tree.Revision(subtree), EditID: id, YAML: []byte(yaml)})
	qt.Assert(t, err, qt.IsNil)
	return accepted.Tree
}

func TestProposeConflictAndDowngrade(t *testing.T) {
	c := qt.New(t)
	tree := mustPropose(t, nil, RootSubtree, rootText("kaffi"))
	tree = mustPropose(t, tree, "kaffi", teamWith("deadline: 0.350s", "shardMapEpoch: 7"))
	c.Assert(tree.Generation(), qt.Equals, cassiaid.Generation(2))
	c.Assert(tree.Revision("kaffi"), qt.Equals, cassiaid.Revision(1))

	_, err := Propose(tree, Proposal{Subtree: "kaffi", Base: 0, EditID: "late", YAML: []byte(validTeam)})
	var conflict *ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Error(), qt.Contains, "--base-revision 1")

	for epoch, refused := range map[int]bool{6: true, 7: false, 8: false} {
		yaml := teamWith("deadline: 0.350s", fmt.Sprintf("shardMapEpoch: %d", epoch))
		_, err := Propose(tree, Proposal{Subtree: "kaffi", Base: 1, EditID: "next", YAML: []byte(yaml)})
		var invalid *InvalidError
		c.Assert(errors.As(err, &invalid) && invalid.Has(ProblemDowngrade), qt.Equals, refused)
	}

	_, err = Propose(tree, Proposal{Subtree: RootSubtree, Base: 1, EditID: "drop", YAML: []byte(rootText("other"))})
	c.Assert(err, qt.ErrorMatches, `(?s).*"kaffi" has fronts but is not listed.*`)
	_, err = Propose(tree, Proposal{Subtree: "te", Base: 0, EditID: "foreign", YAML: []byte(validTeam)})
	c.Assert(err, qt.ErrorMatches, `(?s).*of team "kaffi" and not of "te".*`)
}

func TestAuthorizeOpensOnlyOwnSubtree(t *testing.T) {
	tree := mustPropose(t, nil, RootSubtree, rootText("kaffi", "te"))
	tests := []struct {
		subtree Subtree
		token   string
		admin   string
		allowed bool
	}{
		{"kaffi", "kaffi", hash("admin"), true},
		{"kaffi", "te", hash("admin"), false},
		{"kaffi", "admin", hash("admin"), false},
		{"kaffi", "", hash("admin"), false},
		{"unlisted", "kaffi", hash("admin"), false},
		{RootSubtree, "admin", hash("admin"), true},
		{RootSubtree, "kaffi", hash("admin"), false},
		{RootSubtree, "", "", false},
	}
	for _, test := range tests {
		err := Authorize(tree, test.admin, test.subtree, test.token)
		var forbidden *ForbiddenError
		qt.Assert(t, errors.As(err, &forbidden), qt.Equals, !test.allowed, qt.Commentf("%+v", test))
	}
}
