// Package cassiafreshness decides whether what a VM knows of the store is recent enough to act on it.
package cassiafreshness
