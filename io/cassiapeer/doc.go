// Package cassiapeer carries typed frames between VMs over QUIC with mutual TLS.
//
// A pair of VMs shares one connection with a few long-lived streams in each direction. All frames of one query use the
// same stream, so a lost packet delays only the queries on that stream.
package cassiapeer
