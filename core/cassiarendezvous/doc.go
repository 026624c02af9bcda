// Package cassiarendezvous scores the members of a list for a key, so that all who know the list choose alike and few
// choices change with it.
package cassiarendezvous
