package cassiatree

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

func asErrorReply(err error) *ErrorReply {
	var reply *ErrorReply
	if errors.As(err, &reply) {
		return reply
	}
	return &ErrorReply{Message: "the error is not an ErrorReply"}
}

// TestTwoOperatorsAtOnce applies two edits of one subtree on the same base through two VMs at the same time. Exactly one
// is accepted; the other gets a conflict with the diff and does not appear in the history.
func TestTwoOperatorsAtOnce(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(2, 1)
	vms[0].applyRoot("kaffi")
	for base := range cassiaid.Revision(8) {
		texts := [2]string{teamText("kaffi", "0.1"), teamText("kaffi", "0.2")}
		if base%2 == 1 {
			texts = [2]string{teamText("kaffi", "0.3"), teamText("kaffi", "0.4")}
		}
		var accepted [2]ApplyReply
		var errs [2]error
		var group errgroup.Group
		for i, v := range vms {
			group.Go(func() error {
				accepted[i], errs[i] = v.apply(f.ctx, "kaffi", base, texts[i])
				return nil
			})
		}
		f.c.Assert(group.Wait(), qt.IsNil)
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		f.c.Assert(errs[winner], qt.IsNil)
		f.c.Assert(accepted[winner].Revision, qt.Equals, base+1)
		reply := asErrorReply(errs[loser])
		f.c.Assert(reply.Kind, qt.Equals, ErrorConflict, qt.Commentf("%v", errs[loser]))
		f.c.Assert(reply.Conflict.InForce, qt.Equals, base+1)
		f.c.Assert(reply.Conflict.Diff, qt.Contains, "+"+strings.Split(texts[winner], "\n")[3])
		f.c.Assert(reply.Conflict.Diff, qt.Not(qt.Contains), strings.Split(texts[loser], "\n")[3])
		got, err := vms[loser].client("").Get(f.ctx, "kaffi", "", 0)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(got.YAML, qt.Equals, texts[winner])
	}
	history, err := vms[0].client("").History(f.ctx, "kaffi", 100)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(len(history.Edits), qt.Equals, 8)
}

func isHeadPut(r *http.Request) bool {
	return r.Method == http.MethodPut && r.URL.Path == "/v1/kv/"+headKey
}

// TestLostReplyHasTrueOutcome checks that the outcome that apply returns matches the store's history. The store's reply to
// a write is lost, after the write took effect or without an effect, alone and with a competing edit.
func TestLostReplyHasTrueOutcome(t *testing.T) {
	tests := []struct {
		name string
		// faults returns the store faults of the first VM; applyCompeting applies another edit of the subtree.
		faults   func(applyCompeting func()) (before, after func(*http.Request) error)
		accepted bool
	}{
		{"edit written", func(func()) (before, after func(*http.Request) error) { return nil, loseFirstPut(editsPrefix) }, true},
		{"edit not written", func(func()) (before, after func(*http.Request) error) { return loseFirstPut(editsPrefix), nil }, true},
		{"head written", func(func()) (before, after func(*http.Request) error) { return nil, loseFirstPut(headKey) }, true},
		{"head not written", func(func()) (before, after func(*http.Request) error) { return loseFirstPut(headKey), nil }, true},
		{"head written, then another edit on top", func(applyCompeting func()) (before, after func(*http.Request) error) {
			loseHeadPut := loseFirstPut(headKey)
			return nil, func(r *http.Request) error {
				err := loseHeadPut(r)
				if err != nil {
					applyCompeting()
				}
				return err
			}
		}, true},
		{"head not written, another edit instead", func(applyCompeting func()) (before, after func(*http.Request) error) {
			loseHeadPut := loseFirstPut(headKey)
			return func(r *http.Request) error {
				err := loseHeadPut(r)
				if err != nil {
					applyCompeting()
				}
				return err
			}, nil
		}, false},
		{"another edit just before", func(applyCompeting func()) (before, after func(*http.Request) error) {
			raced := false
			return func(r *http.Request) error {
				if isHeadPut(r) && !raced {
					raced = true
					applyCompeting()
				}
				return nil
			}, nil
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			vms := f.addMany(2, 1)
			vms[0].applyRoot("kaffi")
			applyCompeting := func() {
				for base := range cassiaid.Revision(2) {
					if _, err := vms[1].apply(f.ctx, "kaffi", base, teamText("kaffi", "0.9")); err == nil {
						return
					}
				}
			}
			vms[0].faults.set(test.faults(applyCompeting))
			id := newEditID()
			request := EditRequest{YAML: teamText("kaffi", "0.2"), EditID: id, Author: "tester"}
			accepted, err := vms[0].client("kaffi").Apply(f.ctx, "kaffi", request)
			f.c.Assert(err == nil, qt.Equals, test.accepted, qt.Commentf("%v", err))
			history, err := vms[1].client("").History(f.ctx, "kaffi", 100)
			f.c.Assert(err, qt.IsNil)
			found := 0
			for _, e := range history.Edits {
				if e.EditID == id {
					found++
				}
			}
			f.c.Assert(found == 1, qt.Equals, test.accepted)
			if !test.accepted {
				return
			}
			f.c.Assert(accepted.Revision, qt.Equals, cassiaid.Revision(1))
			again, err := vms[1].client("kaffi").Apply(f.ctx, "kaffi", request)
			f.c.Assert(err, qt.IsNil)
			f.c.Assert(again.Revision, qt.Equals, cassiaid.Revision(1))
		})
	}
}

// TestOutcomeUnknownCanBeResolved cuts a VM off from the store as soon as it writes the head. Apply must return an
// OutcomeUnknownError, and afterwards a lookup by edit id must return the outcome, on this VM and on another.
func TestOutcomeUnknownCanBeResolved(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(1, 1)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	var written atomic.Bool
	vms[0].faults.set(func(r *http.Request) error {
		if isHeadPut(r) {
			written.Store(true)
		}
		return nil
	}, func(*http.Request) error {
		if written.Load() {
			return errConnectionLost
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(f.ctx, 700*time.Millisecond)
	defer cancel()
	id := newEditID()
	proposal := cassiasettings.Proposal{Subtree: "kaffi", EditID: id, YAML: []byte(teamText("kaffi", "0.2"))}
	_, err := vms[0].Apply(ctx, proposal, "kaffi")
	var unknown *OutcomeUnknownError
	f.c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	f.c.Assert(err.Error(), qt.Contains, string(id))
	_, err = vms[0].client("").Get(f.ctx, "kaffi", id, 0)
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorUnavailable)

	other := f.add("other", "zone1")
	other.run()
	for _, v := range []*fleetVM{other, vms[0]} {
		v.faults.set(nil, nil)
		got, err := v.client("").Get(f.ctx, "kaffi", id, 0)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(got.Accepted && got.InForce, qt.IsTrue)
	}
	_, err = vms[0].client("").Get(f.ctx, "kaffi", newEditID(), 0)
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorNotFound)
}

// TestTeamsTogetherStayUnderTheCap applies edits of two teams at the same time. Each is valid alone, but their connection
// shares on one target add up to more than its connections, so exactly one must be accepted.
func TestTeamsTogetherStayUnderTheCap(t *testing.T) {
	for range 5 {
		f := newFleet(t)
		vms := f.addMany(2, 1)
		vms[0].applyRoot("kaffi", "te")
		var errs [2]error
		var group errgroup.Group
		for i, team := range []string{"kaffi", "te"} {
			group.Go(func() error {
				_, errs[i] = vms[i].apply(f.ctx, cassiasettings.Subtree(team), 0, teamText(team, "0.6"))
				return nil
			})
		}
		f.c.Assert(group.Wait(), qt.IsNil)
		f.c.Assert((errs[0] == nil) != (errs[1] == nil), qt.IsTrue, qt.Commentf("%v", errs))
		reply := asErrorReply(errors.Join(errs[0], errs[1]))
		f.c.Assert(reply.Kind, qt.Equals, ErrorInvalid, qt.Commentf("%v", errs))
		f.c.Assert(reply.Problems[0].Kind, qt.Equals, cassiasettings.ProblemConnectionShare)
	}
}

// TestRefusedEditsChangeNothing checks that invalid input of each kind is refused and leaves the settings in force
// unchanged.
func TestRefusedEditsChangeNothing(t *testing.T) {
	f := newFleet(t)
	v := f.addMany(1, 1)[0]
	v.applyRoot("kaffi", "te")
	good := strings.Replace(teamText("kaffi", "0.2"), "name: leit", "name: leit\n    shardMapEpoch: 5", 1)
	_, err := v.apply(f.ctx, "kaffi", 0, good)
	f.c.Assert(err, qt.IsNil)
	head := f.platform.Get(headKey)
	tests := []struct {
		name    string
		subtree cassiasettings.Subtree
		token   string
		base    cassiaid.Revision
		yaml    string
		kind    ErrorKind
	}{
		{"unknown field", "kaffi", "kaffi", 1, good + "color: red\n", ErrorInvalid},
		{"unreadable", "kaffi", "kaffi", 1, "team: [", ErrorInvalid},
		{"oversized", "kaffi", "kaffi", 1, good + "#" + strings.Repeat("x", cassiasettings.MaxSubtreeBytes), ErrorInvalid},
		{"far oversized", "kaffi", "kaffi", 1, strings.Repeat("x", maxMessageBytes), ErrorTooLarge},
		{"downgrade", "kaffi", "kaffi", 1, strings.Replace(good, "Epoch: 5", "Epoch: 4", 1), ErrorInvalid},
		{"foreign token", "kaffi", "te", 1, good, ErrorForbidden},
		{"team's token on the root", cassiasettings.RootSubtree, "kaffi", 1, rootText("kaffi"), ErrorForbidden},
		{"administrators' token on a team", "kaffi", adminToken, 1, good, ErrorForbidden},
		{"text of another team", "te", "te", 0, good, ErrorInvalid},
		{"stale base", "kaffi", "kaffi", 0, good, ErrorConflict},
	}
	for _, test := range tests {
		_, err := v.client(test.token).Apply(f.ctx, test.subtree,
			EditRequest{YAML: test.yaml, BaseRevision: test.base, EditID: newEditID()})
		f.c.Assert(asErrorReply(err).Kind, qt.Equals, test.kind, qt.Commentf("%s: %v", test.name, err))
		f.c.Assert(f.platform.Get(headKey).Revision, qt.Equals, head.Revision)
		f.c.Assert(v.Current().Revision("kaffi"), qt.Equals, cassiaid.Revision(1))
	}
	_, err = v.client("kaffi").History(f.ctx, cassiasettings.RootSubtree, 1)
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorForbidden)
}

// TestRollbackIsANewRevision checks that a rollback is accepted as a new revision with the old text, and that repeating it
// with the same edit id does not apply it again.
func TestRollbackIsANewRevision(t *testing.T) {
	f := newFleet(t)
	v := f.addMany(1, 1)[0]
	v.applyRoot("kaffi")
	for base, share := range []string{"0.1", "0.2"} {
		_, err := v.apply(f.ctx, "kaffi", cassiaid.Revision(base), teamText("kaffi", share))
		f.c.Assert(err, qt.IsNil)
	}
	request := RollbackRequest{ToRevision: 1, EditID: newEditID(), Author: "tester"}
	for range 2 {
		accepted, err := v.client("kaffi").Rollback(f.ctx, "kaffi", request)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(accepted.Revision, qt.Equals, cassiaid.Revision(3))
	}
	got, err := v.client("").Get(f.ctx, "kaffi", "", 0)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(got.YAML, qt.Equals, teamText("kaffi", "0.1"))
	_, err = v.client("kaffi").Rollback(f.ctx, "kaffi", RollbackRequest{ToRevision: 9, EditID: newEditID()})
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorNotFound)
}
