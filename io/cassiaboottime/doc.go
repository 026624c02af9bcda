// Package cassiaboottime reads the time since the machine booted, which goes on while the machine is suspended.
package cassiaboottime
