package cassiafollow

import (
	"compress/gzip"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

const (
	// maxPageBytes bounds the values in one reply to a watch, unless a single one is larger. All VMs of a zone may ask a watcher at the
	// same time, so it has to be able to send a page to each of them well within the timeout of a watch.
	maxPageBytes = 64 << 10
	// maxDecompressedBytes bounds what a compressed reply may expand to.
	maxDecompressedBytes = 64 << 20
	// maxCachedPages is how many pages a watcher keeps. VMs that are equally far behind get the same ones.
	maxCachedPages = 16
)

// firstPage returns the first of the events, which are ordered by revision and end at a position, and the position after them.
// Events of one revision stay together.
func firstPage(events []Event, to Position) ([]Event, Position) {
	size := 0
	for i, e := range events {
		size += len(e.Value)
		if i > 0 && size > maxPageBytes && e.Revision != events[i-1].Revision {
			return events[:i], Position{Era: to.Era, Revision: events[i-1].Revision}
		}
	}
	return events, to
}

// pageKey identifies the events after one position up to another one.
type pageKey struct{ after, to Position }

// pageCache keeps the pages that were compressed last. The zero value is empty and ready to use; it is safe for concurrent use.
type pageCache struct {
	mutex sync.Mutex
	pages map[pageKey][]byte
	// keys holds the keys of the pages, the oldest first.
	keys []pageKey
}

// compressed returns the events of a page in compressed form. Callers that ask for the same page at the same time wait for one of them to
// compress it.
func (p *pageCache) compressed(key pageKey, events []Event) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if page, ok := p.pages[key]; ok {
		return page, nil
	}
	page, err := compressEvents(events)
	if err != nil {
		return nil, err
	}
	if p.pages == nil {
		p.pages = make(map[pageKey][]byte)
	}
	if len(p.keys) >= maxCachedPages {
		delete(p.pages, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.pages[key], p.keys = page, append(p.keys, key)
	return page, nil
}

func compressEvents(events []Event) ([]byte, error) {
	encoded, err := proto.Marshal(&cassiaschema.StoreEvents{Events: encodeEvents(events)})
	if err != nil {
		return nil, eris.Wrap(err, "encode changes of the store")
	}
	return cassiapeer.Compress(encoded, gzip.BestSpeed)
}

func encodeEvents(events []Event) []*cassiaschema.StoreEvent {
	encoded := make([]*cassiaschema.StoreEvent, len(events))
	for i, e := range events {
		encoded[i] = &cassiaschema.StoreEvent{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Removed: e.Removed}
	}
	return encoded
}

// decodeEvents returns the events of a reply, compressed or not.
func decodeEvents(reply *cassiaschema.StoreWatchReply) ([]Event, error) {
	encoded := reply.GetEvents()
	if len(reply.GetCompressedEvents()) > 0 {
		content, err := cassiapeer.Decompress(reply.GetCompressedEvents(), maxDecompressedBytes)
		if err != nil {
			return nil, err
		}
		var list cassiaschema.StoreEvents
		if err := proto.Unmarshal(content, &list); err != nil {
			return nil, eris.Wrap(err, "decode changes of the store; check that both VMs run the same version")
		}
		encoded = list.GetEvents()
	}
	events := make([]Event, len(encoded))
	for i, e := range encoded {
		events[i] = Event{Key: e.GetKey(), Value: e.GetValue(), Revision: Revision(e.GetRevision()), Removed: e.GetRemoved()}
	}
	return events, nil
}
