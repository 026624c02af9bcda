// Package cassiahangup catches SIGHUP early in the life of a process. Until a process catches it, the signal ends it. The package
// imports little, so that it is initialized before packages whose initialization takes milliseconds.
package cassiahangup
