// Package cassiarecent remembers which keys came lately, in bounded space and without a timer.
package cassiarecent
