// Package cassiatree keeps one VM's copy of the shared settings tree up to date, writes operators' edits to the store
// and serves the settings API on the operator port.
package cassiatree
