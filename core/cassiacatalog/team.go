package cassiacatalog

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"sync"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
)

// Team is the configuration of one team whose callers authenticate with API keys.
type Team struct {
	Name cassiaid.TeamName
	// Priority is the rank of the team's requests, where 0 is the highest. It goes before the route's if HasPriority is true.
	Priority    int
	HasPriority bool
	// Quota limits the team's requests over all VMs; there is no limit if its Rate is 0.
	Quota Quota
	// Regions lists the regions in which the team's requests may run; all regions if it is empty.
	Regions []cassiaid.Region
}

// Quota limits the requests of a team: Rate requests per second, and Burst requests beyond them.
type Quota struct {
	Rate  cassiabudget.Rate
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// TeamKeys is a team with its API keys in plain text. NewTeams keeps only their digests.
type TeamKeys struct {
	Team Team
	Keys []string
}

// KeyHash is the SHA-256 hash of an API key. It identifies the key of a request while the request is served.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// keyDigest identifies an API key within this process.
type keyDigest [sha256.Size]byte

// Teams finds teams by their API keys. Make it with NewTeams; nil stands for a configuration in which requests need no key.
type Teams struct {
	byKey  map[keyDigest]*Team
	byName map[cassiaid.TeamName]*Team
}

// digestSecret is drawn anew by each process, so that the digests in its memory can't be compared with those of guessed keys, and the
// time of a look-up tells nothing about the keys.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	rand.Read(secret) //nolint:errcheck // it never returns an error
	return secret
})

// digest returns what stands for the key in the memory of this process.
func (h KeyHash) digest() keyDigest {
	mac := hmac.New(sha256.New, digestSecret())
	mac.Write(h[:])
	return keyDigest(mac.Sum(nil))
}

// NewTeams returns the teams with the given keys. The error names the team of the first entry that is invalid, and none of its keys.
func NewTeams(entries []TeamKeys) (*Teams, error) {
	t := &Teams{byKey: make(map[keyDigest]*Team), byName: make(map[cassiaid.TeamName]*Team, len(entries))}
	for i := range entries {
		team := &entries[i].Team
		if err := t.check(team); err != nil {
			return nil, err
		}
		t.byName[team.Name] = team
		for _, key := range entries[i].Keys {
			if key == "" {
				return nil, fmt.Errorf("team %s has an empty key; remove it", team.Name)
			}
			digest := HashKey(key).digest()
			if holder := t.byKey[digest]; holder != nil && holder != team {
				return nil, fmt.Errorf("teams %s and %s have a key in common; give each team keys of its own", holder.Name, team.Name)
			}
			t.byKey[digest] = team
		}
	}
	return t, nil
}

// check returns an error for a team that can't be added.
func (t *Teams) check(team *Team) error {
	switch {
	case team.Name == "":
		return errors.New("a team has no name; give it one")
	case t.byName[team.Name] != nil:
		return fmt.Errorf("there are two teams of the name %s; rename one", team.Name)
	case !isLimit(float64(team.Quota.Rate)) || !isLimit(team.Quota.Burst):
		return fmt.Errorf("team %s has a negative rate or burst; use 0 for no limit", team.Name)
	}
	return nil
}

func isLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// Authenticate returns the team that holds an API key and the key's hash, or nil if no team holds it.
func (t *Teams) Authenticate(key string) (*Team, KeyHash) {
	if t == nil || key == "" {
		return nil, KeyHash{}
	}
	hash := HashKey(key)
	return t.Holder(hash), hash
}

// Holder returns the team that holds the key with a hash, or nil if none does.
func (t *Teams) Holder(hash KeyHash) *Team {
	if t == nil {
		return nil
	}
	return t.byKey[hash.digest()]
}

// Team returns the team of a name, or nil if there is none.
func (t *Teams) Team(name cassiaid.TeamName) *Team {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Len returns the number of teams.
func (t *Teams) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}
