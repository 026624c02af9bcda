package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

// settingsFile is a settings file, split into the settings and the base revision given in its last line. subtree is
// empty if the settings are longer than cassiasettings.MaxSubtreeBytes.
type settingsFile struct {
	text            cassiasettings.Text
	subtree         cassiasettings.Subtree
	baseRevision    cassiaid.Revision
	hasBaseRevision bool
}

var baseRevisionLine = regexp.MustCompile(`(?m)^# base revision: (\d+)\s*\z`)

func readSettingsFile(name string) (settingsFile, error) {
	f := settingsFile{text: cassiasettings.Text{File: name}}
	file, err := os.Open(name)
	if err != nil {
		return f, fmt.Errorf("read settings: %w; check the path", err)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, cassiasettings.MaxSubtreeBytes+1<<10))
	if err != nil {
		return f, fmt.Errorf("read settings: %w; check the path", err)
	}
	if m := baseRevisionLine.FindSubmatchIndex(content); m != nil {
		revision, err := strconv.ParseUint(string(content[m[2]:m[3]]), 10, 64)
		if err != nil {
			return f, fmt.Errorf("%s: the base revision in the last line is too large; correct it", name)
		}
		f.baseRevision, f.hasBaseRevision = cassiaid.Revision(revision), true
		content = content[:m[0]]
	}
	f.text.YAML = content
	if len(content) <= cassiasettings.MaxSubtreeBytes {
		f.subtree, err = cassiasettings.DetectSubtree(f.text)
	}
	return f, err
}

// appendBaseRevision appends the line that gives the base revision, which readSettingsFile reads.
func appendBaseRevision(yaml string, revision cassiaid.Revision) string {
	if yaml != "" && yaml[len(yaml)-1] != '\n' {
		yaml += "\n"
	}
	return yaml + fmt.Sprintf("# base revision: %d\n", revision)
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.Exit("no files to check; list them as arguments", exitFailed)
	}
	var texts []cassiasettings.Text
	for _, name := range c.Args().Slice() {
		f, err := readSettingsFile(name)
		if err != nil {
			return withExitCode(err)
		}
		texts = append(texts, f.text)
	}
	if err := cassiasettings.CheckTexts(texts); err != nil {
		return withExitCode(err)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%d files are valid\n", len(texts))
	return err
}
