package cassiaplan

import (
	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// ShardsFor returns the indexes of the shards that a request to the front has to ask: all of them, or with fanout
// oneShardByKey the one that the hash of shardKey selects.
func ShardsFor(front *cassiaschema.Front, shardKey string) []cassiaid.ShardIndex {
	count := len(front.GetShards())
	if count == 0 {
		return nil
	}
	if front.GetFanout() == cassiaschema.Fanout_oneShardByKey {
		return []cassiaid.ShardIndex{cassiaid.ShardIndex(xxhash.Sum64String(shardKey) % uint64(count))}
	}
	shards := make([]cassiaid.ShardIndex, count)
	for i := range shards {
		shards[i] = cassiaid.ShardIndex(i)
	}
	return shards
}

func (q *Query) idempotent() bool {
	return q.front.GetKind() == cassiaschema.RequestKind_idempotent
}
