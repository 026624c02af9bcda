// Package cassiapeer carries typed frames between VMs over QUIC with mutual TLS.
//
// A pair of VMs shares one connection with a few long streams each way. Frames of one query stay on one stream, so a
// lost packet delays only the queries that share it.
package cassiapeer
