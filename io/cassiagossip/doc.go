// Package cassiagossip runs the membership protocol of cassiamember over UDP.
//
// It encrypts and authenticates packets with the cluster key, drives the protocol's timer, polls the platform's VM list
// for seeds, and notifies subscribers of changes that it learns from peers.
package cassiagossip
