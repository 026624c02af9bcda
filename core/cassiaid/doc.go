// Package cassiaid defines the named types for identities and units that every other package shares.
package cassiaid
