// Package cassiagrant enforces the quotas of teams over all VMs: it asks other VMs for grants as cassiaquota decides, and grants requests
// of the parts of quotas that this VM coordinates.
package cassiagrant
