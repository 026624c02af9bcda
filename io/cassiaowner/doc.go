// Package cassiaowner runs shard attempts for the VMs that plan queries: it holds this VM's connections to its targets,
// lets each target's limiter decide what starts when, and sends results back in as few messages as their lateness allows.
package cassiaowner
