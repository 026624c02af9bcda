package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// maxStateBytes limits the total size of the YAML texts in one SettingsState. A single larger text is still sent, alone.
const maxStateBytes = 512 << 10

// StateFor returns the state to send to a VM that requests newer settings: the head, and the edits that the VM lacks.
// Edits beyond maxStateBytes are left for its next request. If the VM's generation is not lower than this tree's,
// StateFor returns only the head.
func (t *Tree) StateFor(request *cassiaschema.SettingsRequest) *cassiaschema.SettingsState {
	state := &cassiaschema.SettingsState{Head: t.Head()}
	if t == nil || t.Generation() <= cassiaid.Generation(request.GetHaveGeneration()) {
		return state
	}
	have := make(map[string]bool, len(request.GetHave()))
	for _, s := range request.GetHave() {
		have[s.GetEditId()] = true
	}
	size := 0
	for _, s := range t.head.GetSubtrees() {
		edit := t.edits[Subtree(s.GetSubtree())]
		if have[s.GetEditId()] {
			continue
		}
		if size > 0 && size+len(edit.GetYaml()) > maxStateBytes {
			break
		}
		size += len(edit.GetYaml())
		state.Edits = append(state.Edits, edit)
	}
	return state
}
