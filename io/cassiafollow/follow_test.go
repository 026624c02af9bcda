package cassiafollow

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestKeyThatIsWrittenAgainAfterItsRemovalExists guards against applying removals after writes: the changes since a stale
// list can remove a key and write it again, and only the last event of the key counts.
func TestKeyThatIsWrittenAgainAfterItsRemovalExists(t *testing.T) {
	c := qt.New(t)
	events := []Event{{Key: "b", Revision: 2}, {Key: "a", Revision: 1}, {Key: "a", Revision: 3, Removed: true}, {Key: "a", Revision: 4},
		{Key: "b", Revision: 5, Removed: true}}
	c.Check(latestByKey(events), qt.DeepEquals, []Event{{Key: "a", Revision: 4}})
}
