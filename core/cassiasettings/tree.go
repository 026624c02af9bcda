package cassiasettings

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// EditID identifies one edit of a subtree. The author's client chooses it.
type EditID string

// Tree is one accepted and valid state of the whole settings tree. It is immutable, and a nil Tree is empty.
type Tree struct {
	head   *cassiaschema.SettingsHead
	edits  map[Subtree]*cassiaschema.SettingsEdit
	root   *cassiaschema.RootSettings
	teams  map[cassiaid.TeamName]*cassiaschema.TeamSettings
	fronts map[cassiaid.FrontKey]*cassiaschema.Front
	// files holds the file names of texts that were not read from the store.
	files map[Subtree]string
}

// Edits maps edit IDs to edits.
type Edits map[EditID]*cassiaschema.SettingsEdit

// Build parses and validates the tree that a head describes. It takes an edit from edits, or else from previous, and
// does not parse a subtree again whose edit is the same in previous. Invalid settings and missing edits are returned as
// an InvalidError.
func Build(head *cassiaschema.SettingsHead, edits Edits, previous *Tree) (*Tree, error) {
	if head == nil {
		head = new(cassiaschema.SettingsHead)
	}
	t := &Tree{
		head:   head,
		edits:  make(map[Subtree]*cassiaschema.SettingsEdit),
		root:   new(cassiaschema.RootSettings),
		teams:  make(map[cassiaid.TeamName]*cassiaschema.TeamSettings),
		fronts: make(map[cassiaid.FrontKey]*cassiaschema.Front),
	}
	for _, s := range head.GetSubtrees() {
		edit, err := findEdit(s, edits, previous)
		if err != nil {
			return nil, err
		}
		t.edits[Subtree(s.GetSubtree())] = edit
		if err := t.parseEdit(edit, previous); err != nil {
			return nil, err
		}
	}
	t.indexFronts()
	if err := problemsError(append(checkTeams(t), checkTargets(t)...)); err != nil {
		return nil, err
	}
	return t, nil
}

// CheckTexts validates each text and then, if all are valid, the rules that involve several of them. It does not check
// rules that involve subtrees not among the texts. Problems are returned as an InvalidError.
func CheckTexts(texts []Text) error {
	t := &Tree{
		edits:  make(map[Subtree]*cassiaschema.SettingsEdit),
		teams:  make(map[cassiaid.TeamName]*cassiaschema.TeamSettings),
		fronts: make(map[cassiaid.FrontKey]*cassiaschema.Front),
		files:  make(map[Subtree]string),
	}
	var problems []Problem
	for _, text := range texts {
		if err := t.addText(text); err != nil {
			problems = append(problems, problemsOf(err)...)
		}
	}
	if len(problems) > 0 {
		return problemsError(problems)
	}
	if t.root != nil {
		problems = checkTeams(t)
	}
	return problemsError(append(problems, checkTargets(t)...))
}

func (t *Tree) addText(text Text) error {
	subtree, err := DetectSubtree(text)
	if err != nil {
		return err
	}
	if first, ok := t.files[subtree]; ok {
		return problemsError([]Problem{{Kind: ProblemDuplicate, File: text.File,
			Detail: fmt.Sprintf("subtree %q is already in %s", subtree, first), Remedy: "give one file for each subtree"}})
	}
	t.files[subtree] = text.File
	edit := &cassiaschema.SettingsEdit{Subtree: string(subtree), Yaml: text.YAML}
	t.edits[subtree] = edit
	return t.parseEdit(edit, nil)
}

func problemsOf(err error) []Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return []Problem{{Kind: ProblemSyntax, Detail: err.Error(), Remedy: "correct the text"}}
}

func findEdit(s *cassiaschema.SubtreeHead, edits Edits, previous *Tree) (*cassiaschema.SettingsEdit, error) {
	edit := edits[EditID(s.GetEditId())]
	if edit == nil {
		edit = previous.Edit(Subtree(s.GetSubtree()))
	}
	if edit.GetEditId() != s.GetEditId() || edit.GetSubtree() != s.GetSubtree() || edit.GetRevision() != s.GetRevision() {
		return nil, problemsError([]Problem{{Kind: ProblemIncomplete, File: s.GetSubtree(),
			Detail: fmt.Sprintf("edit %q of revision %d is missing or does not match the head", s.GetEditId(), s.GetRevision()),
			Remedy: "apply the subtree again"}})
	}
	return edit, nil
}

func (t *Tree) parseEdit(edit *cassiaschema.SettingsEdit, previous *Tree) error {
	subtree := Subtree(edit.GetSubtree())
	unchanged := previous.Edit(subtree).GetEditId() == edit.GetEditId() && edit.GetEditId() != ""
	text := t.text(subtree)
	var err error
	switch {
	case subtree == RootSubtree && unchanged:
		t.root = previous.root
	case subtree == RootSubtree:
		t.root, err = ParseRoot(text)
	case unchanged:
		t.teams[cassiaid.TeamName(subtree)] = previous.Team(cassiaid.TeamName(subtree))
	default:
		t.teams[cassiaid.TeamName(subtree)], err = ParseTeam(text)
	}
	return err
}

func (t *Tree) indexFronts() {
	for name, team := range t.teams {
		for _, f := range team.GetFronts() {
			t.fronts[cassiaid.FrontKey{Team: name, Front: cassiaid.FrontName(f.GetName())}] = f
		}
	}
}

// Generation returns the number of edits accepted for the whole tree so far.
func (t *Tree) Generation() cassiaid.Generation {
	return cassiaid.Generation(t.Head().GetGeneration())
}

// Head returns the head, which names the edit in force for each subtree. It is nil for a nil Tree.
func (t *Tree) Head() *cassiaschema.SettingsHead {
	if t == nil {
		return nil
	}
	return t.head
}

// Revision returns the number of edits accepted for a subtree so far, or 0 if the subtree does not exist.
func (t *Tree) Revision(s Subtree) cassiaid.Revision {
	return cassiaid.Revision(t.Edit(s).GetRevision())
}

// Edit returns the edit in force for a subtree, or nil if the subtree does not exist.
func (t *Tree) Edit(s Subtree) *cassiaschema.SettingsEdit {
	if t == nil {
		return nil
	}
	return t.edits[s]
}

// Edits returns the edits in force, in the order of the head.
func (t *Tree) Edits() []*cassiaschema.SettingsEdit {
	var edits []*cassiaschema.SettingsEdit
	for _, s := range t.Head().GetSubtrees() {
		edits = append(edits, t.edits[Subtree(s.GetSubtree())])
	}
	return edits
}

// Root returns the root settings. It is nil for a nil Tree.
func (t *Tree) Root() *cassiaschema.RootSettings {
	if t == nil {
		return nil
	}
	return t.root
}

// Team returns a team's settings, or nil if the team has no subtree.
func (t *Tree) Team(name cassiaid.TeamName) *cassiaschema.TeamSettings {
	if t == nil {
		return nil
	}
	return t.teams[name]
}

// TeamNames returns the names of the teams that have a subtree, sorted.
func (t *Tree) TeamNames() []cassiaid.TeamName {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.teams))
}

// Front returns the settings of a front and whether it exists.
func (t *Tree) Front(key cassiaid.FrontKey) (*cassiaschema.Front, bool) {
	if t == nil {
		return nil, false
	}
	f, ok := t.fronts[key]
	return f, ok
}

func (t *Tree) text(s Subtree) Text {
	file, ok := t.files[s]
	if !ok {
		file = string(s)
	}
	return Text{File: file, YAML: t.Edit(s).GetYaml()}
}

// targetUses returns every mention of a target in every front, in a deterministic order.
func (t *Tree) targetUses() []targetUse {
	var uses []targetUse
	for _, name := range t.TeamNames() {
		text := t.text(TeamSubtree(name))
		for i, front := range t.teams[name].GetFronts() {
			key := cassiaid.FrontKey{Team: name, Front: cassiaid.FrontName(front.GetName())}
			for j, shard := range front.GetShards() {
				for k, target := range shard.GetTargets() {
					at := fieldRef{text, []any{"fronts", i, "shards", j, "targets", k}}
					uses = append(uses, targetUse{field: at, front: key, target: target, limits: front.GetTargetLimits()})
				}
			}
		}
	}
	return uses
}
