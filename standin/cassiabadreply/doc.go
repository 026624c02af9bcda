// Package cassiabadreply provides replies with malformed statuses, and a TCP server that sends them.
package cassiabadreply
