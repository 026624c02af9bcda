// Package cassiatls gives mutual TLS between VMs: it reads a VM's certificate files again when they are replaced,
// refuses and counts peers without a certificate of the same authority, and issues certificates for an own authority.
package cassiatls
