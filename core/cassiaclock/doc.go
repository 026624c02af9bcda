// Package cassiaclock defines the clock that the components of the core depend on, so that tests can replace it.
package cassiaclock
