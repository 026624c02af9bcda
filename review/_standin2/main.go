// Command standin2 runs the cases of the second review. Its arguments are the number of the case, the folder for the record and the
// program of a VM.
package main

import (
	"fmt"
	"os"
)

// verdict tells whether the rule of a case was broken, and what was seen.
type verdict struct {
	broken bool
	seen   string
}

var cases = map[string]func(folder, program string, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	v, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(2)
	}
	fmt.Println(v.seen)
	if v.broken {
		fmt.Println("the rule is broken")
		os.Exit(1)
	}
	fmt.Println("the rule holds")
}
