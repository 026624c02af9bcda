package main

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/io/cassiatls"
)

// authorityStoreKey is the key of the authority that signs the certificates of all VMs.
const authorityStoreKey = "authority"

// authorityRecord is how the authority lies in the store, which is trusted with it as it is with the configuration.
type authorityRecord struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// newEncodedAuthority makes an authority.
func newEncodedAuthority() ([]byte, error) {
	authority, err := cassiatls.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	certificate, key, err := authority.Encode()
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(authorityRecord{Certificate: string(certificate), Key: string(key)})
	return encoded, eris.Wrap(err, "encode the authority")
}

func decodeAuthority(value []byte) (*cassiatls.Authority, error) {
	var record authorityRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, eris.Wrap(err, "read the authority in the store; remove the key so that a new one is made")
	}
	return cassiatls.ParseAuthority([]byte(record.Certificate), []byte(record.Key))
}
