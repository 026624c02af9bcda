package main

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/io/cassiatls"
)

// authorityStoreKey is the store key of the certificate authority that signs the certificates of all VMs.
const authorityStoreKey = "authority"

// authorityRecord is the certificate authority as it is written to the store, with its private key. The store is trusted
// with that key as it is trusted with the configuration.
type authorityRecord struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// newEncodedAuthority creates a certificate authority and returns its authorityRecord as JSON.
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

// decodeAuthority parses the JSON of an authorityRecord.
func decodeAuthority(value []byte) (*cassiatls.Authority, error) {
	var record authorityRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, eris.Wrap(err, "decode the certificate authority in the store; remove its entry so that a VM creates a new one")
	}
	return cassiatls.ParseAuthority([]byte(record.Certificate), []byte(record.Key))
}
