// Package cassiarecord selects the greatest records from the parts of an answer.
package cassiarecord
