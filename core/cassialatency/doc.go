// Package cassialatency estimates quantiles of recent durations in constant space.
package cassialatency
