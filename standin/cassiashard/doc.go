// Package cassiashard simulates targets: back ends that each serve replicas of shards with few slots, a connection cap,
// cold starts, load shedding, snapshots and health reports that can be outdated or wrong.
//
// A log records every attempt, so that a checker can verify independently what ran, when and how often.
package cassiashard
