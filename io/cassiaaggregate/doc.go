// Package cassiaaggregate sends requests to the targets of another availability zone through a VM there. That VM leaves
// out the records that cannot be in the merged answer, which saves most of the traffic between zones.
package cassiaaggregate
