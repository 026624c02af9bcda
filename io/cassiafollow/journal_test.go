package cassiafollow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

func TestJournalTellsWhatCameAfter(t *testing.T) {
	c := qt.New(t)
	var j Journal
	_, _, status := j.Await(context.Background(), Position{Revision: 3})
	c.Check(status, qt.Equals, JournalStale, qt.Commentf("an empty journal must report that it may be behind the store"))
	j.Reset(nil, Position{Revision: 3}, true)
	j.Append([]Event{{Key: "a", Revision: 4}, {Key: "b", Revision: 6}}, 6, true)
	events, to, status := j.Await(context.Background(), Position{Revision: 4})
	c.Assert(status, qt.Equals, JournalChanges)
	c.Check(to, qt.Equals, Position{Revision: 6})
	c.Check(events, qt.DeepEquals, []Event{{Key: "b", Revision: 6}})
	j.Append([]Event{{Key: "a", Revision: 7, Removed: true}}, 7, true)
	events, to, status = j.Await(context.Background(), Position{Revision: 2})
	c.Check(status, qt.Equals, JournalAllKeys, qt.Commentf("the journal has no changes before its reset at revision 3"))
	c.Check(to, qt.Equals, Position{Revision: 7})
	c.Check(events, qt.DeepEquals, []Event{{Key: "b", Revision: 6}})
}

func TestJournalWaitsForNews(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset(nil, Position{Revision: 3}, true)
	var group errgroup.Group
	group.Go(func() error {
		events, _, status := j.Await(context.Background(), Position{Revision: 3})
		c.Check(status, qt.Equals, JournalChanges)
		c.Check(events, qt.HasLen, 1)
		return nil
	})
	j.Append([]Event{{Key: "a", Revision: 4}}, 4, true)
	c.Assert(group.Wait(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	events, to, status := j.Await(ctx, Position{Revision: 4})
	c.Check(status, qt.Equals, JournalChanges)
	c.Check(events, qt.HasLen, 0)
	c.Check(to, qt.Equals, Position{Revision: 4})
}

func TestJournalThatLostTheStoreSaysSo(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset(nil, Position{Revision: 3}, true)
	var group errgroup.Group
	group.Go(func() error {
		_, _, status := j.Await(context.Background(), Position{Revision: 3})
		c.Check(status, qt.Equals, JournalStale)
		return nil
	})
	j.SetStoreLost(true)
	c.Assert(group.Wait(), qt.IsNil)
}

func TestJournalKeepsABoundedHistory(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset(nil, Position{Revision: 0}, true)
	for r := Revision(1); r <= maxJournalEvents+10; r++ {
		j.Append([]Event{{Key: "k", Revision: r}}, r, true)
	}
	_, _, status := j.Await(context.Background(), Position{Revision: 9})
	c.Check(status, qt.Equals, JournalAllKeys)
	events, _, status := j.Await(context.Background(), Position{Revision: 10})
	c.Check(status, qt.Equals, JournalChanges)
	c.Check(events, qt.HasLen, maxJournalEvents)
}

// TestJournalWithoutWordOfTheStore guards against a journal that reports "no changes" although the store has not answered
// for maxStoreSilence.
func TestJournalWithoutWordOfTheStore(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset(nil, Position{Revision: 3}, true)
	j.lastStoreContact = time.Now().Add(-maxStoreSilence)
	_, _, status := j.Await(context.Background(), Position{Revision: 3})
	c.Check(status, qt.Equals, JournalStale)
}

// TestJournalDoesNotBelieveHearsay guards against two VMs that cannot reach the store, ask each other, and take each other's
// replies as proof that nothing has changed. Events from another VM must not count as contact with the store.
func TestJournalDoesNotBelieveHearsay(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset(nil, Position{Revision: 3}, true)
	j.lastStoreContact = time.Now().Add(-maxStoreSilence)
	j.Append([]Event{{Key: "a", Revision: 4}}, 4, false)
	_, _, status := j.Await(context.Background(), Position{Revision: 3})
	c.Check(status, qt.Equals, JournalStale)
}

// TestJournalOfAnotherEraGivesAllKeys guards against comparing revisions of different eras: a store that comes back from an older
// copy gives them out again.
func TestJournalOfAnotherEraGivesAllKeys(t *testing.T) {
	c := qt.New(t)
	var j Journal
	j.Reset([]Event{{Key: "a", Revision: 8}}, Position{Era: 2, Revision: 9}, true)
	for _, after := range []Revision{5, 9, 12} {
		events, to, status := j.Await(context.Background(), Position{Era: 1, Revision: after})
		c.Check(status, qt.Equals, JournalAllKeys)
		c.Check(to, qt.Equals, Position{Era: 2, Revision: 9})
		c.Check(events, qt.HasLen, 1)
	}
	_, _, status := j.Await(context.Background(), Position{Era: 3, Revision: 9})
	c.Check(status, qt.Equals, JournalStale, qt.Commentf("the asking VM knows of a later era"))
}
