// Package cassiaserver assembles and runs one VM: the HTTP entry for callers, the owner of targets, membership by
// gossip, settings, claims and the operators' HTTP port.
package cassiaserver
