package cassiaclaim

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// WriterOf returns the VM of a list that should write a bucket, chosen by rendezvous hashing over the bucket's Hash
// alone, so that consecutive windows have the same writer. It returns "" for an empty list.
func WriterOf(bucket BucketID, vms []cassiaid.VMName) cassiaid.VMName {
	var best cassiaid.VMName
	var bestScore uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(fmt.Sprintf("%d/%s", bucket.Hash, vm))
		if best == "" || score > bestScore || score == bestScore && vm < best {
			best, bestScore = vm, score
		}
	}
	return best
}
