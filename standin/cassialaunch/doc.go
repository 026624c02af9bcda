// Package cassialaunch runs the servers of the stand-ins until a context ends.
package cassialaunch
