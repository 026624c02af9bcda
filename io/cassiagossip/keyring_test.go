package cassiagossip

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
)

func newTestKeyring(c *qt.C, lines ...string) *keyring {
	file := filepath.Join(c.TempDir(), "key")
	c.Assert(os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600), qt.IsNil)
	k, err := newKeyring(file, time.Unix(0, 0))
	c.Assert(err, qt.IsNil)
	return k
}

func TestDatagramsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	ours, foreign := newTestKeyring(c, testKey), newTestKeyring(c, otherKey)
	sealAt := func(k *keyring, at time.Time) []byte {
		sealed, refused := k.seal(&cassiaschema.GossipPacket{From: "a", SentUnixMillis: at.UnixMilli()})
		c.Assert(refused, qt.Equals, accepted)
		return sealed
	}
	good := sealAt(ours, now)
	corrupted := append([]byte(nil), good...)
	corrupted[len(corrupted)-1] ^= 1
	for _, row := range []struct {
		name     string
		datagram []byte
		expected refusal
	}{
		{"good", good, accepted},
		{"other key", sealAt(foreign, now), badSeal},
		{"corrupted", corrupted, badSeal},
		{"truncated", good[:10], badSeal},
		{"empty", nil, badSeal},
		{"other format version", append([]byte{9}, good[1:]...), badSeal},
		{"too old", sealAt(ours, now.Add(-clockTolerance-time.Millisecond)), stale},
		{"sent in the future", sealAt(ours, now.Add(clockTolerance+time.Millisecond)), stale},
		{"too large", make([]byte, maxDatagramBytes+1), tooLarge},
	} {
		_, refused := ours.open(row.datagram, now)
		c.Check(refused, qt.Equals, row.expected, qt.Commentf(row.name))
	}
	_, refused := ours.seal(&cassiaschema.GossipPacket{From: strings.Repeat("a", maxDatagramBytes)})
	c.Check(refused, qt.Equals, tooLarge)
}

func TestKeyReplaced(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	k, old, next := newTestKeyring(c, testKey), newTestKeyring(c, testKey), newTestKeyring(c, otherKey)
	opens := func(by *keyring, at time.Time) bool {
		sealed, _ := by.seal(&cassiaschema.GossipPacket{From: "a", SentUnixMillis: at.UnixMilli()})
		_, refused := k.open(sealed, at)
		return refused == accepted
	}
	replace := func(content string, at time.Time) error {
		c.Assert(os.WriteFile(k.file, []byte(content), 0o600), qt.IsNil)
		_, err := k.reload(at)
		return err
	}
	c.Assert(opens(next, now), qt.IsFalse)
	c.Assert(replace("short", now), qt.ErrorMatches, ".*too short.*cassiasaddle keys.*")
	c.Assert(replace("", now), qt.ErrorMatches, ".*holds no key.*")
	c.Assert(opens(old, now), qt.IsTrue, qt.Commentf("the previous key stays in use after an invalid file"))
	c.Assert(replace(otherKey+"\n", now), qt.IsNil)
	c.Assert(opens(next, now), qt.IsTrue)
	c.Assert(opens(old, now.Add(keyOverlap-time.Second)), qt.IsTrue)
	c.Assert(opens(old, now.Add(keyOverlap)), qt.IsFalse)
	c.Assert(replace(testKey+"\n"+otherKey+"\n", now), qt.IsNil)
	c.Assert(opens(old, now.Add(time.Hour)), qt.IsTrue)
	c.Assert(opens(next, now.Add(time.Hour)), qt.IsTrue)
}
