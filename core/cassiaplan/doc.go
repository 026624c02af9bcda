// Package cassiaplan decides how one query is answered: which snapshot it reads, which targets are asked, when to
// hedge, retry, restart or stop waiting, and what the answer truthfully covers.
//
// A Query is a state machine. Update takes one Message and returns the Effects that the caller has to perform. It
// starts no goroutine, opens no socket and reads no clock.
package cassiaplan
