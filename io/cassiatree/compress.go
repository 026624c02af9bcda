package cassiatree

import (
	"compress/gzip"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiapeer"
)

// compressState returns a copy of state in which the YAML texts are compressed with gzip. A text that would not get
// smaller stays uncompressed.
func compressState(state *cassiaschema.SettingsState) *cassiaschema.SettingsState {
	compressed := &cassiaschema.SettingsState{Head: state.GetHead()}
	for _, edit := range state.GetEdits() {
		content, err := cassiapeer.Compress(edit.GetYaml(), gzip.DefaultCompression)
		if err == nil && len(content) < len(edit.GetYaml()) {
			edit = &cassiaschema.SettingsEdit{Subtree: edit.GetSubtree(), Revision: edit.GetRevision(),
				EditId: edit.GetEditId(), PreviousEditId: edit.GetPreviousEditId(), Author: edit.GetAuthor(),
				UnixMillis: edit.GetUnixMillis(), YamlGzip: content}
		}
		compressed.Edits = append(compressed.Edits, edit)
	}
	return compressed
}

// decompressState replaces the compressed texts of a received state by the original texts.
func decompressState(state *cassiaschema.SettingsState) error {
	for _, edit := range state.GetEdits() {
		if len(edit.GetYamlGzip()) == 0 {
			continue
		}
		text, err := cassiapeer.Decompress(edit.GetYamlGzip(), cassiasettings.MaxSubtreeBytes)
		if err != nil {
			return eris.Wrapf(err, "edit %s", edit.GetEditId())
		}
		edit.Yaml, edit.YamlGzip = text, nil
	}
	return nil
}
