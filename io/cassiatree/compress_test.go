package cassiatree

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

// TestTextsAreCompressedBetweenVMs checks that compressing and decompressing a state restores it, in less than half of
// the bytes, and that a text that decompresses to more than the limit is refused.
func TestTextsAreCompressedBetweenVMs(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	for i := range 500 {
		fmt.Fprintf(&text, "- {name: t%d, address: \"10.0.%d.%d:80\", availabilityZone: zone0}\n", i, i/250, i%250)
	}
	edits := []*cassiaschema.SettingsEdit{
		{Subtree: "kaffi", EditId: "1", Revision: 3, PreviousEditId: "0", Author: "a", UnixMillis: 5, Yaml: []byte(text.String())},
		{Subtree: "te", EditId: "2", Revision: 1, Yaml: []byte("x")},
	}
	state := &cassiaschema.SettingsState{Head: &cassiaschema.SettingsHead{Generation: 4}, Edits: edits}
	compressed := compressState(state)
	t.Logf("%d bytes compressed to %d", proto.Size(state), proto.Size(compressed))
	c.Assert(proto.Size(compressed) < proto.Size(state)/2, qt.IsTrue)
	c.Assert(decompressState(compressed), qt.IsNil)
	c.Assert(proto.Equal(compressed, state), qt.IsTrue)

	huge := &cassiaschema.SettingsEdit{Yaml: bytes.Repeat([]byte("x"), cassiasettings.MaxSubtreeBytes+1)}
	c.Assert(decompressState(compressState(&cassiaschema.SettingsState{Edits: []*cassiaschema.SettingsEdit{huge}})), qt.ErrorMatches, ".*over the limit.*")
	broken := &cassiaschema.SettingsEdit{YamlGzip: []byte("no gzip")}
	c.Assert(decompressState(&cassiaschema.SettingsState{Edits: []*cassiaschema.SettingsEdit{broken}}), qt.Not(qt.IsNil))
}
