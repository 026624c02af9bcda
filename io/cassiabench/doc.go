// Package cassiabench is the load and experiment tool: it runs the VMs of a deployment with stand-ins (simulated
// targets and a simulated platform) in one process on loopback sockets, sends an open-loop load of requests at
// precomputed times, injects faults, and checks the results for violations.
//
// The checks use only the targets' execution logs, the announced times of leaving targets, and what callers sent and
// received. The same load also runs against a plain client, the baseline, for comparison.
package cassiabench
