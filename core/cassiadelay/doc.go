// Package cassiadelay estimates how late messages arrive, without synchronized clocks.
package cassiadelay
