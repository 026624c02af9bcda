// Package cassiaplan plans the execution of one query across the shards of a front: it chooses the snapshot to read and
// the targets to ask, decides when to hedge, retry, restart or stop waiting, and reports which shards the answer
// covers.
package cassiaplan
