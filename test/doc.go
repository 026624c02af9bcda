// Package test holds the tests that run real processes: VMs, stand-ins for the platform and targets, and fault-injecting relays.
package test
