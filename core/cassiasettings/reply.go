package cassiasettings

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// maxStateBytes bounds the texts in one SettingsState, unless a single text is larger.
const maxStateBytes = 512 << 10

// Reply answers a VM that asks for newer settings; what does not fit is left for its next request.
func (t *Tree) Reply(request *cassiaschema.SettingsRequest) *cassiaschema.SettingsState {
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
