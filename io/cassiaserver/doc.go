// Package cassiaserver runs one whole VM: callers' entry, owner of targets, membership, settings and the operators' port.
package cassiaserver
