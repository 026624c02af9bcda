// Package cassiabudget bounds extra requests (hedges and retries) in proportion to ordinary ones.
//
// A Budget holds what may be sent. A Metered budget earns a part of an Allowance, which all VMs share; Share tells each VM how
// large its part is, and Shared holds the budgets of a VM that sends for others.
package cassiabudget
