package main

import (
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHelpNamesTheExitStatus checks what docs/OPERATING.md states: the help of each command explains its exit status.
func TestHelpNamesTheExitStatus(t *testing.T) {
	explained := regexp.MustCompile(`Exit (status|codes): 0 `)
	for _, command := range newApp().Commands {
		if command.Name != versionCommand().Name {
			qt.Check(t, explained.MatchString(command.Description), qt.IsTrue, qt.Commentf("%s", command.Name))
		}
	}
}
