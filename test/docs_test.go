package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNamedTestsExist requires that every test named in docs/INVARIANTS.md exists.
func TestNamedTestsExist(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/INVARIANTS.md")
	c.Assert(err, qt.IsNil)
	defined := map[string]bool{}
	definition := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	c.Assert(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range definition.FindAllStringSubmatch(string(text), -1) {
			defined[m[1]] = true
		}
		return err
	}), qt.IsNil)
	named := regexp.MustCompile("`(Test\\w+)`").FindAllStringSubmatch(string(page), -1)
	c.Assert(len(named) > 0, qt.IsTrue)
	for _, n := range named {
		c.Check(defined[n[1]], qt.IsTrue, qt.Commentf("%s is named but not defined", n[1]))
	}
}
