// Package cassiapause notices that a VM was paused, and has it learn what it missed before it acts on what it knew.
package cassiapause
