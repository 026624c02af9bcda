// Package cassiaowner runs shard attempts for the VMs that plan queries. It holds this VM's connections to its targets,
// starts attempts as the limiter of each target allows, and returns the results of a batch in few messages without
// holding them back for long.
package cassiaowner
