package cassiatls

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// NewClusterKey returns a random cluster key of 64 hexadecimal digits.
func NewClusterKey() (string, error) {
	key := make([]byte, clusterKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return "", eris.Wrap(err, "generate a cluster key")
	}
	return hex.EncodeToString(key), nil
}
