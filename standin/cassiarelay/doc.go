// Package cassiarelay is a fault-injecting relay for TCP and UDP. It forwards traffic between two processes and adds
// delay, jitter, loss, reordering and duplication, cuts the link or discards traffic while connections stay open.
//
// Faults can differ by the sender's address prefix, so that one relay simulates links from several availability zones.
package cassiarelay
