// Package cassiahttp serves the callers' HTTP API: it validates requests, passes them to a Backend and writes answers and
// refusals as JSON.
package cassiahttp
