// Package cassiadrain counts running work, so that a planned stop can wait until it has ended.
package cassiadrain
