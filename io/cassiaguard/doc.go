// Package cassiaguard keeps requests that crash their targets from reaching more of them. Guard holds this VM's
// cassiaquarantine.Quarantine and starts attempts as it allows; Notifier exchanges losses, answers and inquiries with the
// other VMs.
package cassiaguard
