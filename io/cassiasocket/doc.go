// Package cassiasocket provides TCP connections on which a reset can't be taken for the end of the stream.
package cassiasocket
