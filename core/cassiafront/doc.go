// Package cassiafront reads the settings of a query front and fills in the defaults of those that are unset.
package cassiafront
