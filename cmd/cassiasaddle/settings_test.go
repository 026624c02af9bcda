package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
	"cassiasaddle/io/cassiatree"
	"cassiasaddle/standin/cassiaplatform"
)

const teamYAML = `team: kaffi
fronts:
  - name: leit
    shards:
      - name: s0
        targets: [{name: t0, address: "10.0.0.1:80", availabilityZone: sud-a}]
`

// testVM is the operator port of one VM and its store. The other members that it lists can't be reached.
type testVM struct {
	operator *httptest.Server
	platform *cassiaplatform.Platform
	// answersToLose is how many of the next answers to POST requests are dropped.
	answersToLose atomic.Int32
	otherMembers  []cassiasettings.Member
}

func (*testVM) Changed() <-chan struct{} { return nil }

func (v *testVM) Live() []cassiasettings.Member { return v.otherMembers }

func (*testVM) Send(context.Context, cassiaid.VMName, *cassiaschema.PeerFrame) error {
	return errors.New("unreachable")
}

func (*testVM) Exchange(context.Context, cassiaid.VMName, *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	return nil, errors.New("unreachable")
}

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func startVM(t *testing.T, otherMembers ...cassiasettings.Member) *testVM {
	v := &testVM{platform: cassiaplatform.New(cassiaplatform.Options{}), otherMembers: otherMembers}
	store := httptest.NewServer(v.platform)
	service := cassiatree.New(cassiatree.Config{Self: "vm0", Zone: "sud-a", AdminTokenSHA256: sha256Hex("admin"), Peers: v,
		Members: v, Store: cassiastore.NewClient(strings.TrimPrefix(store.URL, "http://"), "", nil)})
	handler := service.Handler()
	v.operator = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && v.answersToLose.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return service.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		qt.Check(t, group.Wait(), qt.IsNil)
		v.operator.Close()
		store.CloseClientConnections()
		store.Close()
	})
	return v
}

// runSettings runs a settings command against the VM, or offline if v is nil, and returns its output and exit code.
func (v *testVM) runSettings(token string, arguments ...string) (string, int) {
	var out bytes.Buffer
	root := &cli.Command{Name: "cassiasaddle", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{settingsCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	all := append([]string{"cassiasaddle", "settings"}, arguments...)
	if v != nil {
		all = append(append(all[:3:3], "--address", strings.TrimPrefix(v.operator.URL, "http://"), "--token", token), arguments[1:]...)
	}
	err := root.Run(context.Background(), all)
	var coder cli.ExitCoder
	switch {
	case err == nil:
		return out.String(), exitOK
	case errors.As(err, &coder):
		return out.String() + err.Error(), coder.ExitCode()
	}
	return out.String() + err.Error(), exitFailed
}

func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	qt.Assert(t, os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

func TestCheckOffline(t *testing.T) {
	c := qt.New(t)
	good, bad := writeFile(t, "good.yaml", teamYAML), writeFile(t, "bad.yaml", strings.Replace(teamYAML, "shards", "shard", 1))
	out, code := (*testVM)(nil).runSettings("", "check", good)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	out, code = (*testVM)(nil).runSettings("", "check", bad)
	c.Assert(code, qt.Equals, exitInvalid)
	c.Assert(out, qt.Contains, bad+":4")
}

func TestEditGoesRound(t *testing.T) {
	c := qt.New(t)
	v := startVM(t)
	root := writeFile(t, "root.yaml", fmt.Sprintf("teams: [{name: kaffi, tokenSha256: %s}]\n", sha256Hex("secret")))
	out, code := v.runSettings("admin", "apply", root)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "in force on all 1 VMs")

	file := writeFile(t, "kaffi.yaml", teamYAML+"# base revision: 0\n")
	out, code = v.runSettings("secret", "plan", file)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "+team: kaffi")
	_, code = v.runSettings("wrong", "apply", file)
	c.Assert(code, qt.Equals, exitFailed)
	out, code = v.runSettings("secret", "apply", "--team", "kaffi", file)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	content, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(content), qt.Equals, teamYAML+"# base revision: 1\n")

	out, code = v.runSettings("secret", "apply", "--base-revision", "0", writeFile(t, "stale.yaml", teamYAML+"# mine\n"))
	c.Assert(code, qt.Equals, exitConflict)
	c.Assert(out, qt.Contains, "+team: kaffi")
	c.Assert(out, qt.Contains, "--base-revision 1")

	c.Assert(os.WriteFile(file, []byte(teamYAML+"# more\n# base revision: 1\n"), 0o600), qt.IsNil)
	out, code = v.runSettings("secret", "apply", file)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	out, code = v.runSettings("secret", "rollback", "--team", "kaffi", "--to", "1")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	out, code = v.runSettings("", "get", "--team", "kaffi")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Equals, teamYAML+"# base revision: 3\n")
	out, code = v.runSettings("", "history", "--team", "kaffi")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(strings.Count(out, "\n"), qt.Equals, 3)
}

// TestLostAnswerOfTheVM drops two answers of the operator port and checks that the command sends the edit again and that it
// is applied only once.
func TestLostAnswerOfTheVM(t *testing.T) {
	c := qt.New(t)
	v := startVM(t)
	v.answersToLose.Store(2)
	root := writeFile(t, "root.yaml", fmt.Sprintf("teams: [{name: kaffi, tokenSha256: %s}]\n", sha256Hex("secret")))
	out, code := v.runSettings("admin", "apply", root)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "subtree root revision 1,")
}

// TestApplyNamesVMsBehind checks that apply lists a member that can't be reached as not having the edit in force.
func TestApplyNamesVMsBehind(t *testing.T) {
	c := qt.New(t)
	v := startVM(t, cassiasettings.Member{Name: "vm9", Zone: "sud-d"})
	root := writeFile(t, "root.yaml", "teams: []\n")
	out, code := v.runSettings("admin", "apply", "--wait", (300 * time.Millisecond).String(), root)
	c.Assert(code, qt.Equals, exitNotInForce, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "vm9 sud-d (generation 0)")
}
