// Package cassiatarget calls targets over HTTP and judges their replies: what was answered, from which snapshot, and
// whether a failed attempt may have started.
package cassiatarget
