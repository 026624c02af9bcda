// Package cassiabudget limits extra requests (hedges and retries) in proportion to the first attempts of requests.
//
// Budget is a token bucket. Metered is a Budget that is refilled from an Allowance, which all VMs divide among themselves. Share
// computes the fraction of the Allowance that one VM may use. ServiceBudgets holds one Metered budget per service for an
// aggregator, a VM that sends attempts for the other VMs of its zone.
package cassiabudget
