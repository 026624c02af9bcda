// Package cassiacaller bounds the connections of callers to an HTTP server, and the memory for the headers and bodies on them, as
// core/cassiaintake decides.
package cassiacaller
