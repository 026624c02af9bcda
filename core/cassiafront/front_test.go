package cassiafront

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDefaultsAreDocumented compares the defaults with the operators' documentation.
func TestDefaultsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATING.md")
	c.Assert(err, qt.IsNil)
	c.Assert(HedgeBudget(nil), qt.Equals, RetryBudget(nil))
	for _, row := range []string{
		fmt.Sprintf("| `deadline` | %d ms |", Deadline(nil).Milliseconds()),
		fmt.Sprintf("| `hedgeBudget`, `retryBudget` | %g each |", HedgeBudget(nil)),
		fmt.Sprintf("| `maxBodyBytes`, `maxAnswerBytes` | %d KiB, %d MiB |", MaxBodyBytes(nil)>>10, MaxAnswerBytes(nil)>>20),
		fmt.Sprintf("| `targetLimits.maxConnections` | %d |", MaxConnections(nil)),
		fmt.Sprintf("| `targetLimits.connectionShare` | %g |", ConnectionShare(nil)),
	} {
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("the page lacks the row %s", row))
	}
}
