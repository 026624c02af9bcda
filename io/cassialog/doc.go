// Package cassialog makes the structured logger and the metrics scope that the other io packages receive.
package cassialog
