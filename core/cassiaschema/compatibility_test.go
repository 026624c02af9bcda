package cassiaschema_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cassiasaddle/core/cassiaschema"
)

// fieldsFile lists the fields of all messages, as VMs of versions that may run side by side exchange them.
const fieldsFile = "testdata/fields.txt"

// TestFieldsAreAddedOnly requires that no field of the list was removed, renumbered or given another type, since VMs of earlier versions
// send and read them, and that new fields are in the list.
func TestFieldsAreAddedOnly(t *testing.T) {
	c := qt.New(t)
	listed, err := os.ReadFile(fieldsFile)
	c.Assert(err, qt.IsNil)
	var lines []string
	for _, file := range []protoreflect.FileDescriptor{
		cassiaschema.File_peer_proto, cassiaschema.File_claim_proto, cassiaschema.File_gossip_proto, cassiaschema.File_settings_proto,
	} {
		lines = append(lines, linesOfMessages(file.Messages())...)
		lines = append(lines, linesOfEnums(file.Enums())...)
	}
	slices.Sort(lines)
	c.Check(strings.Split(strings.TrimSpace(string(listed)), "\n"), qt.DeepEquals, lines)
}

// linesOfMessages returns a line for each field of messages, with its number, cardinality and type.
func linesOfMessages(messages protoreflect.MessageDescriptors) []string {
	var lines []string
	for i := range messages.Len() {
		m := messages.Get(i)
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			kind := f.Kind().String()
			if f.Message() != nil {
				kind = string(f.Message().FullName())
			} else if f.Enum() != nil {
				kind = string(f.Enum().FullName())
			}
			lines = append(lines, fmt.Sprintf("%s %d %s %s", f.FullName(), f.Number(), f.Cardinality(), kind))
		}
		lines = append(lines, linesOfMessages(m.Messages())...)
		lines = append(lines, linesOfEnums(m.Enums())...)
	}
	return lines
}

func linesOfEnums(enums protoreflect.EnumDescriptors) []string {
	var lines []string
	for i := range enums.Len() {
		for j := range enums.Get(i).Values().Len() {
			v := enums.Get(i).Values().Get(j)
			lines = append(lines, fmt.Sprintf("%s %s %d", enums.Get(i).FullName(), v.Name(), v.Number()))
		}
	}
	return lines
}

// TestFramesOfLaterVersionsAreRead requires that a frame with a body or a field that this version does not know is no error, which would
// end the stream and lose the frames behind it.
func TestFramesOfLaterVersionsAreRead(t *testing.T) {
	c := qt.New(t)
	const unknownField = 1999
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, unknownField, protowire.BytesType), []byte("later"))
	var frame cassiaschema.PeerFrame
	c.Assert(proto.Unmarshal(unknown, &frame), qt.IsNil)
	c.Check(frame.GetBody(), qt.IsNil)

	reply, err := proto.Marshal(&cassiaschema.ForwardedReply{ForwardId: 7, State: cassiaschema.ForwardedReply_STATE_DECLINED})
	c.Assert(err, qt.IsNil)
	var read cassiaschema.ForwardedReply
	c.Assert(proto.Unmarshal(append(reply, unknown...), &read), qt.IsNil)
	c.Check(read.GetForwardId(), qt.Equals, uint64(7))
	c.Check(read.GetState(), qt.Equals, cassiaschema.ForwardedReply_STATE_DECLINED)
}
