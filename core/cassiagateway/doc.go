// Package cassiagateway decides how one VM serves requests: which target of each shard receives an attempt and when,
// when a second target is tried (hedge or retry), when a partial answer is returned, and when a request is refused.
//
// A Gateway is a state machine without I/O: Update takes a message and returns the effects that the caller has to
// perform. It uses only what this VM observes; VMs do not coordinate their decisions.
package cassiagateway
