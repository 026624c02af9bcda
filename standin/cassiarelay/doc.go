// Package cassiarelay is a fault-injecting relay for TCP and UDP: it stands between two processes and adds delay,
// jitter, loss, reordering and duplication, cuts the link or swallows what it carries.
//
// Faults can differ by the sender's address prefix, so that one relay plays links of different availability zones.
package cassiarelay
