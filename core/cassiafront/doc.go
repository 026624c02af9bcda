// Package cassiafront reads the settings of a query front and applies the defaults of those that are unset.
package cassiafront
