// Package cassiatarget calls targets over HTTP and classifies their replies: the outcome, the snapshot that was used, and
// whether a failed attempt may have started.
package cassiatarget
