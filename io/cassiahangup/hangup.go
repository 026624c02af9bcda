package cassiahangup

import (
	"os"
	"os/signal"
	"syscall"
)

var hangups = catch()

func catch() chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// Hangups returns the channel of the SIGHUPs that this process has received since its start, or the first of several that were not
// read.
func Hangups() <-chan os.Signal { return hangups }
