package cassialog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log/level"
)

// TestFailuresAreLoggedBesideAFlood guards against the lines of failed requests being dropped because of those of answered ones.
func TestFailuresAreLoggedBesideAFlood(t *testing.T) {
	c := qt.New(t)
	var written bytes.Buffer
	output := NewBounded(&written)
	logger, err := New(output, "info")
	c.Assert(err, qt.IsNil)
	const failures = 20
	for i := range 50 * failures {
		level.Info(logger).Log("event", "answered", "number", i) //nolint:errcheck // Bounded returns no error
		if i%50 == 0 {
			level.Warn(logger).Log("event", "refused", "number", i) //nolint:errcheck // the same
		}
	}
	c.Assert(output.Close(), qt.IsNil)
	c.Check(strings.Count(written.String(), "event=refused"), qt.Equals, failures)
	c.Check(strings.Count(written.String(), "event=answered") < 50*failures, qt.IsTrue)
	c.Check(strings.Contains(written.String(), "event=linesDropped"), qt.IsTrue)
}

// TestOutputThatNobodyReadsBlocksNothing guards against a VM that waits for a reader of its output, at work or when it stops.
func TestOutputThatNobodyReadsBlocksNothing(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	defer reader.Close() //nolint:errcheck // it ends the write
	output := NewBounded(writer)
	logger, err := New(output, "debug")
	c.Assert(err, qt.IsNil)
	begun := time.Now()
	for i := range 10 * maxQueuedLines {
		level.Warn(logger).Log("line", fmt.Sprint(i)) //nolint:errcheck // Bounded returns no error
	}
	c.Assert(output.Close(), qt.IsNil)
	c.Check(time.Since(begun) < 5*flushTimeout, qt.IsTrue)
}
