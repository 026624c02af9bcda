// Package cassiatls provides mutual TLS between VMs.
//
// It reloads a VM's certificate files when they are replaced, refuses and counts peers whose certificate is not issued by
// the same certificate authority, and can issue certificates with an authority of its own.
package cassiatls
