package cassiafollow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// WatchServer answers the watches of VMs that do not watch the store themselves from the Journal of this VM.
type WatchServer struct {
	Journal *Journal
	// Log receives a line for each reply that holds changes; nothing is logged when nil.
	Log Log
	// Clock measures how old the knowledge of this VM is; the operating system's if it is nil.
	Clock cassiaclock.BootClock

	pages pageCache
	group errgroup.Group
}

// Serve replies to the watch of a VM once there are changes, the journal is stale or the watch times out; it does not block.
func (s *WatchServer) Serve(from cassiaid.VMName, request *cassiaschema.StoreWatch, reply cassiapeer.Replier) {
	arrived := bootTime(s.Clock)
	s.group.Go(func() error {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), min(request.GetWait().AsDuration(), MaxWatchTimeout))
		defer cancel()
		after := Position{Era: Era(request.GetEra()), Revision: Revision(request.GetAfter())}
		events, to, status, asOf := s.Journal.Await(ctx, after)
		message := &cassiaschema.StoreWatchReply{Lost: status == JournalStale, Whole: status == JournalAllKeys}
		var err error
		if request.GetPaged() && len(events) > 0 {
			if status == JournalChanges {
				all := len(events)
				if events, to = firstPage(events, to); len(events) < all {
					asOf = 0
				}
			}
			message.CompressedEvents, err = s.pages.compressed(pageKey{after: after, to: to}, events)
		} else {
			message.Events = encodeEvents(events)
		}
		message.Revision, message.Era = uint64(to.Revision), uint64(to.Era)
		if asOf != 0 && status != JournalStale {
			message.KnowledgeAge = durationpb.New(arrived.Sub(asOf))
		}
		ready := time.Now()
		if err == nil {
			err = reply(&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatchReply{StoreWatchReply: message}})
		}
		// Without the reply the other VM asks the store.
		if (len(events) > 0 || err != nil) && s.Log != nil {
			s.Log("changesSent", "to", from, "after", after.Revision, "revision", to.Revision, "changes", len(events),
				"allKeys", message.GetWhole(), "compressedBytes", len(message.GetCompressedEvents()), "waited", ready.Sub(start),
				"sentIn", time.Since(ready), "error", err)
		}
		return nil
	})
}
