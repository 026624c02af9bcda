// Package cassiarecent remembers recently added keys in bounded space and without a timer.
package cassiarecent
