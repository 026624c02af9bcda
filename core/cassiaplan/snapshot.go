package cassiaplan

import (
	"slices"

	"cassiasaddle/core/cassiaid"
)

// bestSnapshot returns the snapshot that usable replicas of the most shards are known to hold, the newest one in a tie,
// and the number of those shards. It returns 0 if no snapshot is known.
func (q *Query) bestSnapshot() (cassiaid.Snapshot, int) {
	counts := q.shardsBySnapshot()
	var best cassiaid.Snapshot
	for s, n := range counts {
		if n > counts[best] || n == counts[best] && s > best {
			best = s
		}
	}
	return best, counts[best]
}

// shardsBySnapshot returns for each snapshot the number of shards that have a usable replica known to hold it.
func (q *Query) shardsBySnapshot() map[cassiaid.Snapshot]int {
	counts := map[cassiaid.Snapshot]int{}
	var seen []cassiaid.Snapshot
	for i := range q.shards {
		seen = seen[:0]
		for _, t := range q.shards[i].targets {
			v := q.target(cassiaid.TargetName(t.GetName()))
			if !v.Usable || !q.epochCompatible(v) {
				continue
			}
			for _, s := range v.HeldSnapshots {
				if s != 0 && !slices.Contains(seen, s) {
					seen = append(seen, s)
					counts[s]++
				}
			}
		}
	}
	return counts
}

// epochCompatible reports whether a target can serve the query's shard map, now or after it has adopted it.
func (q *Query) epochCompatible(v TargetView) bool { return v.Epoch <= q.epoch }
