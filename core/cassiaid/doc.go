// Package cassiaid defines the types of identifiers and counters that the other packages share.
package cassiaid
