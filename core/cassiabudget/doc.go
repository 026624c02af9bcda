// Package cassiabudget limits what several VMs send together without talking about it: extra requests (hedges and retries), in
// proportion to the first attempts of requests, and requests to targets that name the rate that they accept.
//
// Budget is a token bucket. Metered is a Budget that is refilled from an Allowance, which all VMs divide among themselves. Share
// computes the fraction of the Allowance that one VM may use. ServiceBudgets holds one Metered budget per service for an
// aggregator, a VM that sends attempts for the other VMs of its zone. RateLimit is one VM's part of the rate that a target accepts.
package cassiabudget
