package cassiatree

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// compressState returns a copy of state in which the YAML texts are compressed with gzip. A text that would not get
// smaller stays uncompressed.
func compressState(state *cassiaschema.SettingsState) *cassiaschema.SettingsState {
	compressed := &cassiaschema.SettingsState{Head: state.GetHead()}
	for _, edit := range state.GetEdits() {
		var content bytes.Buffer
		w := gzip.NewWriter(&content)
		_, err := w.Write(edit.GetYaml())
		if err == nil {
			err = w.Close()
		}
		if err == nil && content.Len() < len(edit.GetYaml()) {
			edit = &cassiaschema.SettingsEdit{Subtree: edit.GetSubtree(), Revision: edit.GetRevision(),
				EditId: edit.GetEditId(), PreviousEditId: edit.GetPreviousEditId(), Author: edit.GetAuthor(),
				UnixMillis: edit.GetUnixMillis(), YamlGzip: content.Bytes()}
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
		text, err := decompressText(edit.GetYamlGzip())
		if err != nil {
			return eris.Wrapf(err, "decompress edit %s; check that both VMs run the same version", edit.GetEditId())
		}
		edit.Yaml, edit.YamlGzip = text, nil
	}
	return nil
}

func decompressText(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, cassiasettings.MaxSubtreeBytes+1))
	if err == nil && len(text) > cassiasettings.MaxSubtreeBytes {
		err = eris.New("the decompressed text is over the limit for a subtree")
	}
	return text, err
}
