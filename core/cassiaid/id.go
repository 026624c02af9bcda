package cassiaid

import "encoding/hex"

// VMName names one VM of the system.
type VMName string

// Zone names an availability zone.
type Zone string

// Region names a region, which holds availability zones.
type Region string

// TeamName names a team, the customer that owns a subtree of settings.
type TeamName string

// FrontName names a query front within its team.
type FrontName string

// TargetName names a target, a backend that serves one replica of a shard.
type TargetName string

// Snapshot is the version of an index; a larger one is newer.
type Snapshot uint64

// Epoch is a shard map epoch: it counts the repartitionings of a front's shard map.
type Epoch uint64

// ShardIndex is the position of a shard in its front's list of shards.
type ShardIndex uint32

// AttemptID identifies one attempt of one shard at one target; it is random and never reused.
type AttemptID uint64

// Fingerprint identifies what the repeats of a request have in common.
type Fingerprint uint64

// Generation counts the accepted edits of the whole settings tree.
type Generation uint64

// Revision counts the accepted edits of one subtree of settings.
type Revision uint64

// QueryID identifies one execution of one caller's request.
type QueryID [16]byte

// String returns the identifier in hexadecimal digits.
func (q QueryID) String() string { return hex.EncodeToString(q[:]) }

// FrontKey names a front across teams.
type FrontKey struct {
	Team  TeamName
	Front FrontName
}

// String returns the team and the front joined by a slash.
func (k FrontKey) String() string { return string(k.Team) + "/" + string(k.Front) }
