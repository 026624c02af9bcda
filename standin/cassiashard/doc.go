// Package cassiashard is a stand-in for targets: back ends that each serve one replica of a shard with few slots, a
// connection cap, cold starts, load shedding, index versions and health reports that lag or mislead.
//
// Every execution is written to a log, so that a checker can judge from outside what ran, when and how often.
package cassiashard
