// Package cassiaentry serves the requests of callers. It runs one query planner per request, sends the planner's
// batches to the owners of targets and passes their results back to the planner.
package cassiaentry
