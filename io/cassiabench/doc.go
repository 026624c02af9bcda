// Package cassiabench is the load and experiment tool: it runs a deployment's stand-ins and VMs in one process on
// loopback sockets, sends requests at times fixed ahead, plays faults, and judges what happened.
//
// The verdicts rest only on the targets' execution logs and on the bytes that callers received. The same load also
// runs against a plain client, the baseline, for comparison.
package cassiabench
