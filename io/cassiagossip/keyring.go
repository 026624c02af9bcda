package cassiagossip

import (
	"bytes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// minKeyLength is the minimum length of a cluster key in bytes.
	minKeyLength = 32
	// keyOverlap is how long a key removed from the file is still accepted for decryption, so that VMs can replace it
	// at different times.
	keyOverlap = 10 * time.Minute
	// keyDerivationInfo is the info parameter of HKDF, so that the derived key is specific to membership packets.
	keyDerivationInfo = "cassiasaddle membership 1"
)

// ringKey is one cluster key and the time until which it decrypts packets; a zero validUntil means no limit.
type ringKey struct {
	secret     string
	aead       cipher.AEAD
	validUntil time.Time
}

// keyring holds the keys of a key file, one a line: the first encrypts packets, all of them decrypt.
type keyring struct {
	file string

	mu      sync.Mutex
	content []byte
	keys    []ringKey
}

// newKeyring reads a key file.
func newKeyring(file string, now time.Time) (*keyring, error) {
	k := &keyring{file: file}
	_, err := k.reload(now)
	return k, err
}

// reload reads the file and reports whether its content changed. After an error the previous keys stay in use.
func (k *keyring) reload(now time.Time) (bool, error) {
	content, err := os.ReadFile(k.file)
	if err != nil {
		return false, &KeyError{File: k.file, Reason: err.Error()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.content != nil && bytes.Equal(content, k.content) {
		return false, nil
	}
	keys, err := k.parse(string(content))
	if err != nil {
		return false, err
	}
	k.keys = append(keys, k.retiredKeys(keys, now)...)
	k.content = content
	return true, nil
}

// parse derives an encryption key from each word of a key file. Words are separated by white space, such as line ends.
func (k *keyring) parse(content string) ([]ringKey, error) {
	var keys []ringKey
	for word := range strings.FieldsSeq(content) {
		if len(word) < minKeyLength {
			return nil, &KeyError{File: k.file, Reason: "a key is too short"}
		}
		derived, err := hkdf.Key(sha256.New, []byte(word), nil, keyDerivationInfo, chacha20poly1305.KeySize)
		if err != nil {
			return nil, &KeyError{File: k.file, Reason: err.Error()}
		}
		aead, err := chacha20poly1305.NewX(derived)
		if err != nil {
			return nil, &KeyError{File: k.file, Reason: err.Error()}
		}
		keys = append(keys, ringKey{secret: word, aead: aead})
	}
	if len(keys) == 0 {
		return nil, &KeyError{File: k.file, Reason: "it holds no key"}
	}
	return keys, nil
}

// retiredKeys returns the keys that are no longer in the file but still within keyOverlap.
func (k *keyring) retiredKeys(current []ringKey, now time.Time) []ringKey {
	var old []ringKey
	for _, key := range k.keys {
		if containsSecret(current, key.secret) {
			continue
		}
		if key.validUntil.IsZero() {
			key.validUntil = now.Add(keyOverlap)
		}
		if now.Before(key.validUntil) {
			old = append(old, key)
		}
	}
	return old
}

func containsSecret(keys []ringKey, secret string) bool {
	for _, key := range keys {
		if key.secret == secret {
			return true
		}
	}
	return false
}

// sealingCipher returns the cipher that encrypts packets.
func (k *keyring) sealingCipher() cipher.AEAD {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[0].aead
}

// openingCiphers returns the ciphers that may decrypt a packet: those of the file first, then those of retired keys.
func (k *keyring) openingCiphers(now time.Time) []cipher.AEAD {
	k.mu.Lock()
	defer k.mu.Unlock()
	ciphers := make([]cipher.AEAD, 0, len(k.keys))
	for _, key := range k.keys {
		if key.validUntil.IsZero() || now.Before(key.validUntil) {
			ciphers = append(ciphers, key.aead)
		}
	}
	return ciphers
}
