// Command review-standin plays the cases of the review: it starts VMs as processes of cassiafront and stands in for the platform, the
// targets and the callers. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var cases = map[string]func(*deployment) (broken bool){}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE")
		return exitNotRun
	}
	name := os.Args[1]
	d, err := newDeployment(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if problem := recover(); problem != nil {
			d.record("notRun", "problem", problem)
			fmt.Fprintln(os.Stderr, problem)
			code = exitNotRun
		}
	}()
	if cases[name](d) {
		fmt.Println("the rule was broken; see", d.recordPath)
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
