package cassiagossip

import (
	"crypto/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
)

const (
	// formatVersion is the version of the datagram format, which is the first byte of each datagram.
	formatVersion = 1
	// maxDatagramBytes limits a datagram, so that it is not fragmented in the network.
	maxDatagramBytes = 1400
	// clockTolerance is the largest accepted difference from the sender's clock; older packets may be replays.
	clockTolerance = 30 * time.Second
)

// seal encodes and encrypts a packet, or returns why it cannot be sent.
func (k *keyring) seal(p *cassiaschema.GossipPacket) ([]byte, refusal) {
	plain, err := proto.Marshal(p)
	if err != nil {
		return nil, badPacket
	}
	aead := k.sealingCipher()
	header := make([]byte, 1+aead.NonceSize(), 1+aead.NonceSize()+len(plain)+aead.Overhead())
	header[0] = formatVersion
	if _, err := rand.Read(header[1:]); err != nil {
		return nil, badSeal
	}
	sealed := aead.Seal(header, header[1:], plain, header[:1])
	if len(sealed) > maxDatagramBytes {
		return nil, tooLarge
	}
	return sealed, accepted
}

// open decrypts and decodes a datagram, or returns why it was refused.
func (k *keyring) open(datagram []byte, now time.Time) (*cassiaschema.GossipPacket, refusal) {
	if len(datagram) > maxDatagramBytes {
		return nil, tooLarge
	}
	if len(datagram) == 0 || datagram[0] != formatVersion {
		return nil, badSeal
	}
	plain, ok := k.decrypt(datagram, now)
	if !ok {
		return nil, badSeal
	}
	p := &cassiaschema.GossipPacket{}
	if proto.Unmarshal(plain, p) != nil {
		return nil, badPacket
	}
	if age := now.Sub(time.UnixMilli(p.GetSentUnixMillis())); age > clockTolerance || age < -clockTolerance {
		return nil, stale
	}
	return p, accepted
}

// decrypt tries each key that is valid for decryption; false means that none fits.
func (k *keyring) decrypt(datagram []byte, now time.Time) ([]byte, bool) {
	for _, aead := range k.openingCiphers(now) {
		headerBytes := 1 + aead.NonceSize()
		if len(datagram) < headerBytes+aead.Overhead() {
			return nil, false
		}
		plain, err := aead.Open(nil, datagram[1:headerBytes], datagram[headerBytes:], datagram[:1])
		if err == nil {
			return plain, true
		}
	}
	return nil, false
}
