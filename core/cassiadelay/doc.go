// Package cassiadelay estimates how late a message is, without synchronized clocks.
package cassiadelay
