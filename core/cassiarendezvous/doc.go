// Package cassiarendezvous implements the score of weighted rendezvous hashing: all VMs with the same list of members choose
// the same member for a key, and a change of the list changes the choice for few keys.
package cassiarendezvous
