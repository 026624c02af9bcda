// Package cassiafitness tells targets that answer as usual from those that stand still or fail, by the attempts that one VM sends to
// them for all VMs.
package cassiafitness
