// Package cassiadrain counts work in progress, so that a planned stop can wait for its end.
package cassiadrain
