// Package cassiabody reads bodies within limits, so that those who send without end do not use up a VM's memory, and so that a part of a
// body is never taken for all of it.
package cassiabody
