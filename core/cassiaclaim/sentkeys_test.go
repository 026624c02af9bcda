package cassiaclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSentIsRememberedForTheRetention(t *testing.T) {
	c := qt.New(t)
	var s SentKeys
	now := time.Unix(1_800_000_000, 0)
	s.Add(now, Key{Scoped: "a"})
	c.Check(s.Has(now.Add(MaxRetention), "a"), qt.IsTrue)
	c.Check(s.Has(now.Add(MaxRetention), "b"), qt.IsFalse)
	c.Check(s.Has(now.Add(4*MaxRetention), "a"), qt.IsFalse)
}
