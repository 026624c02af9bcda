package cassiaowner

import (
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// minFlushInterval is the least interval between partial replies of one batch.
const minFlushInterval = 2 * time.Millisecond

// Reply receives some of the results of a batch; it is called until all of them are delivered, possibly by several
// goroutines at the same time. A reply without results only shows that this VM is alive.
type Reply func(reply *cassiaschema.ShardBatchReply)

// batch collects the results of one ShardBatch. It replies once all results are present, and before that with the
// results so far after FlushAfter and then at doubling intervals. So a slow target delays the other results only
// briefly and costs few messages.
type batch struct {
	request  *cassiaschema.ShardBatch
	query    cassiaid.QueryID
	deadline time.Time
	reply    Reply
	onEnded  func()
	// remote is true for a batch from another VM.
	remote bool

	mutex       sync.Mutex
	ready       []*cassiaschema.ShardResult
	outstanding int
	interval    time.Duration
	timer       *time.Timer
}

func newBatch(request *cassiaschema.ShardBatch, deadline time.Time, reply Reply, onEnded func()) *batch {
	b := &batch{
		request: request, deadline: deadline, reply: reply, onEnded: onEnded,
		outstanding: len(request.Attempts),
		interval:    firstFlushInterval(request),
	}
	copy(b.query[:], request.QueryId)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.timer = time.AfterFunc(b.interval, b.flushOnTimer)
	return b
}

// firstFlushInterval returns the time from a batch's arrival to its first partial reply.
func firstFlushInterval(request *cassiaschema.ShardBatch) time.Duration {
	return max(request.FlushAfter.AsDuration(), minFlushInterval)
}

// add records the result of one attempt.
func (b *batch) add(result *cassiaschema.ShardResult) {
	b.mutex.Lock()
	b.ready = append(b.ready, result)
	b.outstanding--
	done := b.outstanding == 0
	var results []*cassiaschema.ShardResult
	if done {
		b.timer.Stop()
		results = b.takeReady()
	}
	b.mutex.Unlock()
	b.send(results)
	if done {
		b.onEnded()
	}
}

func (b *batch) flushOnTimer() {
	b.mutex.Lock()
	results := b.takeReady()
	first := b.interval == firstFlushInterval(b.request)
	b.interval *= 2
	if b.outstanding > 0 {
		b.timer.Reset(b.interval)
	}
	b.mutex.Unlock()
	if first && len(results) == 0 {
		// An empty reply shows the entry that this VM is alive although its targets are slow.
		b.reply(&cassiaschema.ShardBatchReply{QueryId: b.request.QueryId})
		return
	}
	b.send(results)
}

func (b *batch) takeReady() []*cassiaschema.ShardResult {
	results := b.ready
	b.ready = nil
	return results
}

func (b *batch) send(results []*cassiaschema.ShardResult) {
	if len(results) > 0 {
		b.reply(&cassiaschema.ShardBatchReply{QueryId: b.request.QueryId, Results: results})
	}
}
