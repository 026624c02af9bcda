// Package cassiatree keeps the shared settings tree of one VM up to date, takes operators' edits to the store and
// serves both on the operator port.
package cassiatree
