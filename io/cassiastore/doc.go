// Package cassiastore is a client for the platform's HTTP services: the key-value store with leases and watches, the
// list of VMs and the list of targets that are about to stop.
package cassiastore
