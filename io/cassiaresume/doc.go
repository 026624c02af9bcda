// Package cassiaresume has a VM that was paused wait for what changed meanwhile.
package cassiaresume
