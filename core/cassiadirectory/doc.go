// Package cassiadirectory maintains the list of targets from their registrations in the platform's store. Entries may
// arrive late or out of order, and may be missing for a short time while the store is failing.
package cassiadirectory
