package cassiapeer_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiatls"
)

const (
	queryShards = 76
	bodyBytes   = 200
	rowBytes    = 200
)

// BenchmarkQueryMessages measures the CPU time, of both ends together, of the peer messages of one query to 76 shards.
// The query goes to different numbers of owners (VMs that call the targets), directly or through 4 relays, one for each
// availability zone.
func BenchmarkQueryMessages(b *testing.B) {
	for _, owners := range []int{2, 4, 6, 8, 12, 24, 76} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) { measureQuery(b, owners, 0) })
	}
	for _, owners := range []int{8, 24} {
		b.Run(fmt.Sprintf("relays=4/owners=%d", owners), func(b *testing.B) { measureQuery(b, owners, 4) })
	}
}

func measureQuery(b *testing.B, owners, relays int) {
	m := newMesh(b)
	entry := m.add("entry", nil)
	destinations := make([]cassiaid.VMName, 0, max(owners, relays))
	for i := range owners {
		name := cassiaid.VMName(fmt.Sprintf("owner-%d", i))
		m.add(name, answerBatch)
		destinations = append(destinations, name)
	}
	if relays > 0 {
		destinations = m.addRelays(relays, destinations)
	}
	for range 20 {
		entry.query(b, destinations)
	}
	before := cpuTime()
	b.ResetTimer()
	const workers = 8
	var group errgroup.Group
	queriesPerWorker := (b.N + workers - 1) / workers
	for range workers {
		group.Go(func() error {
			for range queriesPerWorker {
				entry.query(b, destinations)
			}
			return nil
		})
	}
	_ = group.Wait()
	b.StopTimer()
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(queriesPerWorker*workers), "cpu-us/query")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// mesh is a set of nodes in one process; it resolves their addresses for each other.
type mesh struct {
	b         *testing.B
	directory cassiatls.Directory
	mutex     sync.Mutex
	addresses map[cassiaid.VMName]string
}

func newMesh(b *testing.B) *mesh {
	return &mesh{b: b, directory: cassiatls.Directory(b.TempDir()), addresses: map[cassiaid.VMName]string{}}
}

// PeerAddress returns the address of a node.
func (m *mesh) PeerAddress(vm cassiaid.VMName) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	address, ok := m.addresses[vm]
	return address, ok
}

// replyFunc returns the reply to a batch that a node received.
type replyFunc func(n *meshNode, batch *cassiaschema.ShardBatch) *cassiaschema.ShardBatchReply

// meshNode is a node with the function that serves its batches; a nil function ignores them.
type meshNode struct {
	*cassiapeer.Node
	serve replyFunc
	group errgroup.Group
}

// HandleFrame replies to a batch on a goroutine of its own.
func (n *meshNode) HandleFrame(_ cassiaid.VMName, frame *cassiaschema.PeerFrame, reply cassiapeer.Replier) {
	batch := frame.GetShardBatch()
	if n.serve == nil || batch == nil {
		return
	}
	n.group.Go(func() error {
		answer := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatchReply{ShardBatchReply: n.serve(n, batch)}}
		return reply(answer)
	})
}

// PeerLost does nothing, since connections end only when the benchmark closes its nodes.
func (n *meshNode) PeerLost(cassiaid.VMName) {}

func (m *mesh) add(name cassiaid.VMName, s replyFunc) *meshNode {
	b := m.b
	if err := m.directory.Issue(time.Now(), time.Hour, name); err != nil {
		b.Fatal(err)
	}
	credentials, err := cassiatls.New(m.directory.Files(name))
	if err != nil {
		b.Fatal(err)
	}
	n := &meshNode{serve: s}
	m.mutex.Lock()
	address := fmt.Sprintf("127.9.%d.1:%d", len(m.addresses)%250+1, 24000+len(m.addresses))
	m.addresses[name] = address
	m.mutex.Unlock()
	n.Node, err = cassiapeer.Listen(cassiapeer.Config{
		Self: name, Address: address, Identity: credentials, Resolver: m, Handler: n, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	if err != nil {
		b.Fatal(err)
	}
	n.Serve()
	b.Cleanup(func() { _ = n.Close() })
	return n
}

// addRelays adds relays, each of which forwards batches to its share of the owners.
func (m *mesh) addRelays(count int, owners []cassiaid.VMName) []cassiaid.VMName {
	var relays []cassiaid.VMName
	for i := range count {
		assigned := owners[i*len(owners)/count : (i+1)*len(owners)/count]
		name := cassiaid.VMName(fmt.Sprintf("relay-%d", i))
		m.add(name, func(n *meshNode, batch *cassiaschema.ShardBatch) *cassiaschema.ShardBatchReply {
			return n.fanOut(batch, assigned)
		})
		relays = append(relays, name)
	}
	return relays
}

func answerBatch(_ *meshNode, batch *cassiaschema.ShardBatch) *cassiaschema.ShardBatchReply {
	reply := &cassiaschema.ShardBatchReply{QueryId: batch.QueryId}
	for _, a := range batch.Attempts {
		reply.Results = append(reply.Results, &cassiaschema.ShardResult{
			AttemptId: a.AttemptId, Shard: a.Shard, Target: a.Target, Outcome: cassiaschema.ShardOutcome_answered, Started: true,
			Snapshot: batch.Snapshot, ShardMapEpoch: batch.ShardMapEpoch, HeldSnapshots: []uint64{41, 42},
			Rows: make([]byte, rowBytes), Elapsed: durationpb.New(8 * time.Millisecond),
		})
	}
	return reply
}

// query sends a query to all shards through the peers and waits for all results.
func (n *meshNode) query(b *testing.B, peers []cassiaid.VMName) {
	batch := &cassiaschema.ShardBatch{
		QueryId: make([]byte, 16), Team: "team", Front: "front", ShardMapEpoch: 3, Snapshot: 42,
		Remaining: durationpb.New(350 * time.Millisecond), Fingerprint: 1 << 60, Body: make([]byte, bodyBytes),
	}
	for shard := range uint32(queryShards) {
		batch.Attempts = append(batch.Attempts, &cassiaschema.ShardAttempt{
			AttemptId: 1<<60 + uint64(shard), Shard: shard, ShardName: "stilisti-07", Target: "stilisti-07-b",
		})
	}
	reply := n.fanOut(batch, peers)
	if len(reply.Results) != queryShards {
		b.Errorf("got %d results, want %d", len(reply.Results), queryShards)
	}
}

// fanOut splits a batch into one part for each peer and merges the replies.
func (n *meshNode) fanOut(batch *cassiaschema.ShardBatch, peers []cassiaid.VMName) *cassiaschema.ShardBatchReply {
	merged := &cassiaschema.ShardBatchReply{QueryId: batch.QueryId}
	var mutex sync.Mutex
	var group errgroup.Group
	total := len(batch.Attempts)
	for i, peer := range peers {
		part := &cassiaschema.ShardBatch{
			QueryId: batch.QueryId, Team: batch.Team, Front: batch.Front, ShardMapEpoch: batch.ShardMapEpoch, Snapshot: batch.Snapshot,
			Remaining: batch.Remaining, Fingerprint: batch.Fingerprint, Body: batch.Body,
			Attempts: batch.Attempts[i*total/len(peers) : (i+1)*total/len(peers)],
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatch{ShardBatch: part}}
			reply, err := n.Exchange(ctx, peer, frame)
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			merged.Results = append(merged.Results, reply.GetShardBatchReply().GetResults()...)
			return nil
		})
	}
	_ = group.Wait()
	return merged
}
