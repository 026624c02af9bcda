// Package cassiafair orders the requests of several parties that wait for the same capacity, so that one that sends many takes nothing from the
// others.
package cassiafair
