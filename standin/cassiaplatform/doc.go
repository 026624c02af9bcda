// Package cassiaplatform simulates the platform that VMs run on: a key-value service with compare-and-swap, leases
// and watches, the list of VMs and the list of targets about to be stopped.
//
// All state is in memory. Each call of a VM is counted, and tests and the bench can inject faults.
package cassiaplatform
