// Package cassiafitness detects targets that stall or fail, from the attempts that an aggregator sends to them. An aggregator is a
// VM that sends attempts for the other VMs of its zone.
package cassiafitness
