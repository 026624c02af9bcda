// Package cassiabody reads the bodies of targets' replies within limits, so that targets that send without end do not use up a VM's memory.
package cassiabody
