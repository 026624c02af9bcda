// Package cassiastore calls the platform's services: the key-value store, the list of VMs and the leaving targets.
package cassiastore
