// Package cassiaquota decides which requests of a team are within its quota over all VMs. The quota is divided into a few parts, each
// with one VM that coordinates it; the other VMs ask these coordinators for grants, which are short-lived. docs/design/quotas.md
// contains the argument for the bound.
package cassiaquota
