// Package cassiaplatform is a small stand-in for the platform that VMs run on: a key-value service with
// compare-and-swap, leases and watches, the list of VMs and the list of targets about to be stopped.
//
// It keeps everything in memory, counts each call and has faults that tests and the bench can switch.
package cassiaplatform
