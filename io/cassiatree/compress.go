package cassiatree

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// compressState returns a copy of a state whose texts are compressed; a text that cannot be stays as it is.
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

// decompressState restores the texts of a received state.
func decompressState(state *cassiaschema.SettingsState) error {
	for _, edit := range state.GetEdits() {
		if len(edit.GetYamlGzip()) == 0 {
			continue
		}
		text, err := decompressText(edit.GetYamlGzip())
		if err != nil {
			return eris.Wrapf(err, "unpack edit %s; check that both VMs run the same version", edit.GetEditId())
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
		err = eris.New("the text is over the limit")
	}
	return text, err
}
