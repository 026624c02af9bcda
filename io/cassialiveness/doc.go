// Package cassialiveness tells whether the process behind an address has ended, for callers whose connection to it ended
// without a reply.
package cassialiveness
