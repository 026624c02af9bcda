// Package cassiaintake decides which bodies and connections of callers a process keeps when all of them together need more memory or
// descriptors than it may use.
package cassiaintake
