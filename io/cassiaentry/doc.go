// Package cassiaentry answers questions: it runs one planner per question, carries its effects to the owners of targets
// and feeds what comes back to the planner.
package cassiaentry
