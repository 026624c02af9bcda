// Package cassiaaggregate lets a VM of another availability zone send requests to the targets of its zone and merge
// their answers, which saves most of the traffic between zones.
package cassiaaggregate
