// Package cassialaunch runs the servers of the simulated targets, relays and platform until a context is done.
package cassialaunch
