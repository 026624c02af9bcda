package cassiatls

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
)

// testPeer is a VM's credentials with the counters that they report to.
type testPeer struct {
	*Credentials
	scope tally.TestScope
}

func newTestPeer(c *qt.C, d Directory, name cassiaid.VMName, clock clockwork.Clock) testPeer {
	scope := tally.NewTestScope("", nil)
	credentials, err := New(d.Files(name), WithMetrics(scope), WithClock(clock))
	c.Assert(err, qt.IsNil)
	return testPeer{Credentials: credentials, scope: scope}
}

// refusedCount returns the number of peers that were refused for a reason.
func (p testPeer) refusedCount(reason PeerReason) int64 {
	for _, counter := range p.scope.Snapshot().Counters() {
		if strings.HasSuffix(counter.Name(), "peerRefused") && counter.Tags()["reason"] == string(reason) {
			return counter.Value()
		}
	}
	return 0
}

// handshake connects a client to a server and returns the client's name as seen by the server, and both errors.
func handshake(client, server *tls.Config) (seenByServer cassiaid.VMName, clientErr, serverErr error) {
	near, far := net.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		defer near.Close()
		conn := tls.Client(near, client)
		if clientErr = conn.Handshake(); clientErr == nil {
			// In TLS 1.3 a client sees the server's refusal only at its first read.
			_, _ = conn.Read(make([]byte, 1))
		}
		return nil
	})
	group.Go(func() error {
		defer far.Close()
		conn := tls.Server(far, server)
		if serverErr = conn.Handshake(); serverErr == nil {
			seenByServer, serverErr = PeerName(conn.ConnectionState())
		}
		return nil
	})
	_ = group.Wait()
	return seenByServer, clientErr, serverErr
}

func issue(c *qt.C, now time.Time, names ...cassiaid.VMName) Directory {
	d := Directory(c.TempDir())
	c.Assert(d.Issue(now, DefaultLifetime, names...), qt.IsNil)
	return d
}

func TestPeersKnowEachOther(t *testing.T) {
	c := qt.New(t)
	d := issue(c, time.Now(), "a", "b")
	a, b := newTestPeer(c, d, "a", clockwork.NewRealClock()), newTestPeer(c, d, "b", clockwork.NewRealClock())
	seen, clientErr, serverErr := handshake(a.Client("b"), b.Server())
	c.Assert(clientErr, qt.IsNil)
	c.Assert(serverErr, qt.IsNil)
	c.Assert(seen, qt.Equals, cassiaid.VMName("a"))
}

func TestPeersRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	clock := clockwork.NewFakeClockAt(now)
	d := issue(c, now, "a", "b")
	foreign := newTestPeer(c, issue(c, now, "a", "b"), "a", clock)
	a, b := newTestPeer(c, d, "a", clock), newTestPeer(c, d, "b", clock)

	withoutCertificate := a.Client("b")
	withoutCertificate.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	_, _, serverErr := handshake(withoutCertificate, b.Server())
	c.Check(serverErr, qt.ErrorMatches, ".*noCertificate.*")
	c.Check(b.refusedCount(PeerNoCertificate), qt.Equals, int64(1))

	unverified := foreign.Client("b")
	unverified.VerifyConnection = nil
	_, _, serverErr = handshake(unverified, b.Server())
	c.Check(serverErr, qt.ErrorMatches, ".*unknownAuthority.*")
	c.Check(b.refusedCount(PeerUnknownAuthority), qt.Equals, int64(1))

	_, clientErr, _ := handshake(foreign.Client("b"), b.Server())
	c.Check(clientErr, qt.ErrorMatches, ".*unknownAuthority.*")

	_, clientErr, _ = handshake(a.Client("c"), b.Server())
	c.Check(clientErr, qt.ErrorMatches, ".*wrongName.*")
	c.Check(a.refusedCount(PeerWrongName), qt.Equals, int64(1))

	clock.Advance(DefaultLifetime + time.Hour)
	_, clientErr, _ = handshake(a.Client("b"), b.Server())
	c.Check(clientErr, qt.ErrorMatches, ".*expired.*")
}

func TestFilesReadAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	clock := clockwork.NewFakeClockAt(now)
	d := issue(c, now, "a", "b")
	a, b := newTestPeer(c, d, "a", clock), newTestPeer(c, d, "b", clock)

	c.Assert(os.WriteFile(d.Files("b").GetCertificate(), []byte("half written"), 0o600), qt.IsNil)
	clock.Advance(2 * checkInterval)
	_, clientErr, _ := handshake(a.Client("b"), b.Server())
	c.Assert(clientErr, qt.IsNil, qt.Commentf("the previous certificate stays in use"))

	renewed := issue(c, now, "a", "b")
	for _, name := range []cassiaid.VMName{"a", "b"} {
		from, to := renewed.Files(name), d.Files(name)
		c.Assert(os.Rename(from.GetCertificate(), to.GetCertificate()), qt.IsNil)
		c.Assert(os.Rename(from.GetKey(), to.GetKey()), qt.IsNil)
	}
	c.Assert(os.Rename(renewed.Files("").GetAuthority(), d.Files("").GetAuthority()), qt.IsNil)
	clock.Advance(2 * checkInterval)
	before := a.content
	_, clientErr, serverErr := handshake(a.Client("b"), b.Server())
	c.Assert(clientErr, qt.IsNil)
	c.Assert(serverErr, qt.IsNil)
	c.Assert(a.content, qt.Not(qt.Equals), before)
}

func TestIssueKeepsAuthority(t *testing.T) {
	c := qt.New(t)
	d := issue(c, time.Now(), "a")
	c.Assert(d.Issue(time.Now(), DefaultLifetime, "b"), qt.IsNil)
	a, b := newTestPeer(c, d, "a", clockwork.NewRealClock()), newTestPeer(c, d, "b", clockwork.NewRealClock())
	_, clientErr, serverErr := handshake(a.Client("b"), b.Server())
	c.Assert(clientErr, qt.IsNil)
	c.Assert(serverErr, qt.IsNil)
}
