// Package cassialog creates the structured logger and the metrics scope that are passed to the other io packages.
package cassialog
