package cassiafollow

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaschema"
)

// ask returns the reply of a server to one watch.
func ask(s *WatchServer, request *cassiaschema.StoreWatch) *cassiaschema.StoreWatchReply {
	replies := make(chan *cassiaschema.StoreWatchReply, 1)
	s.Serve("vm", request, func(frame *cassiaschema.PeerFrame) error {
		replies <- frame.GetStoreWatchReply()
		return nil
	})
	return <-replies
}

// eventsAfter1 returns events of a size that begin after revision 1; each revision has two of them.
func eventsAfter1(count, size int) []Event {
	var events []Event
	for i := range count {
		events = append(events, Event{Key: fmt.Sprintf("k%d", i), Value: bytes.Repeat([]byte{byte(i)}, size), Revision: Revision(2 + i/2)})
	}
	return events
}

// TestPagesTogetherHoldAllChanges guards against changes that are lost at the end of a page, or split within a revision, from which no VM
// could go on.
func TestPagesTogetherHoldAllChanges(t *testing.T) {
	c := qt.New(t)
	s := &WatchServer{Journal: &Journal{}}
	s.Journal.Reset(nil, Position{Revision: 1}, true)
	const size = 1000
	all := eventsAfter1(300, size)
	s.Journal.Append(all, 200, true)
	var got []Event
	position, pages := Position{Revision: 1}, 0
	for position.Revision < 200 {
		reply := ask(s, &cassiaschema.StoreWatch{After: uint64(position.Revision), Wait: durationpb.New(delegatedWatchTimeout), Paged: true})
		events, err := decodeEvents(reply)
		c.Assert(err, qt.IsNil)
		c.Assert(len(events)*size <= maxPageBytes+size, qt.IsTrue)
		c.Assert(Revision(reply.GetRevision()) > position.Revision, qt.IsTrue)
		got, position = append(got, events...), Position{Revision: Revision(reply.GetRevision())}
		pages++
	}
	c.Check(got, qt.DeepEquals, all)
	c.Check(pages > 1, qt.IsTrue)
}

// TestVMWithoutPagesGetsAllChanges guards against a VM of an earlier version that takes the end of a page for the end of the changes while
// VMs are replaced one after the other.
func TestVMWithoutPagesGetsAllChanges(t *testing.T) {
	c := qt.New(t)
	s := &WatchServer{Journal: &Journal{}}
	s.Journal.Reset(nil, Position{Revision: 1}, true)
	all := eventsAfter1(300, 1000)
	s.Journal.Append(all, 200, true)
	reply := ask(s, &cassiaschema.StoreWatch{After: 1, Wait: durationpb.New(delegatedWatchTimeout)})
	c.Check(reply.GetEvents(), qt.HasLen, len(all))
	c.Check(reply.GetCompressedEvents(), qt.HasLen, 0)
	c.Check(reply.GetRevision(), qt.Equals, uint64(200))
}

// TestMalformedPageIsAnError guards against a page that can't be decompressed being taken for one without changes.
func TestMalformedPageIsAnError(t *testing.T) {
	c := qt.New(t)
	page, err := compressEvents(eventsAfter1(10, 100))
	c.Assert(err, qt.IsNil)
	for _, malformed := range [][]byte{{1}, page[:len(page)/2]} {
		_, err := decodeEvents(&cassiaschema.StoreWatchReply{Revision: 9, CompressedEvents: malformed})
		c.Check(err, qt.IsNotNil)
	}
}
