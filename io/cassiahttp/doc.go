// Package cassiahttp serves callers: it checks requests, passes them to an Asker and writes answers and refusals as JSON.
package cassiahttp
