package main

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiatls"
)

func TestKeysCommand(t *testing.T) {
	directory := cassiatls.Directory(t.TempDir())
	for _, row := range []struct {
		arguments []string
		failure   string
	}{
		{arguments: []string{"keys", "--directory", string(directory), "vm-1", "vm-2"}},
		{arguments: []string{"keys", "--directory", string(directory), "vm-3"}},
		{arguments: []string{"keys", "--directory", string(directory)}, failure: "no VM named.*"},
		{arguments: []string{"keys", "--directory", string(directory), "../vm"}, failure: ".*cannot name a file.*"},
	} {
		var output bytes.Buffer
		root := &cli.Command{Writer: &output, Commands: []*cli.Command{keysCommand()}}
		err := root.Run(context.Background(), append([]string{"cassiasaddle"}, row.arguments...))
		if row.failure != "" {
			qt.Check(t, err, qt.ErrorMatches, row.failure)
			continue
		}
		qt.Check(t, err, qt.IsNil)
	}
	_, err := cassiatls.New(directory.Files("vm-3"))
	qt.Assert(t, err, qt.IsNil)
}
