package cassiatls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// DefaultLifetime is the default validity period of a VM's certificate.
	DefaultLifetime = 90 * 24 * time.Hour
	// authorityLifetime is the validity period of an authority's certificate.
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// backdate is how long before its issue a certificate becomes valid, for VMs whose clocks are behind.
	backdate = time.Hour
	// serialBits is the length of a certificate's serial number in bits.
	serialBits = 120
	// clusterKeyBytes is the length of a new cluster key before its hexadecimal encoding.
	clusterKeyBytes = 32

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Authority is a certificate authority that signs the certificates of VMs.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate that is valid for authorityLifetime.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the authority's key")
	}
	template, err := newTemplate("cassiasaddle authority", now, authorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, eris.Wrap(err, "parse the authority's certificate")
}

// Encode returns the authority's certificate and private key in PEM format.
func (a *Authority) Encode() (certificate, key []byte, err error) {
	key, err = encodeKey(a.key)
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: a.certificate.Raw}), key, err
}

// ParseAuthority parses the certificate and private key that Encode returned.
func ParseAuthority(certificate, key []byte) (*Authority, error) {
	parsed, err := parsePEM(certificate, certificateBlock, x509.ParseCertificate)
	if err != nil {
		return nil, eris.Wrap(err, "parse the authority's certificate")
	}
	anyKey, err := parsePEM(key, keyBlock, x509.ParsePKCS8PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "parse the authority's key")
	}
	private, ok := anyKey.(*ecdsa.PrivateKey)
	if !ok || !private.PublicKey.Equal(parsed.PublicKey) {
		return nil, eris.New("the authority's private key does not match its certificate")
	}
	return &Authority{certificate: parsed, key: private}, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// Issue returns a certificate and a new private key for a VM in PEM format, for use as client and server.
func (a *Authority) Issue(name cassiaid.VMName, now time.Time, lifetime time.Duration) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate a VM's key")
	}
	template, err := newTemplate(string(name), now, lifetime)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{string(name)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "sign a VM's certificate")
	}
	key, err = encodeKey(private)
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}), key, err
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode a key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

// Directory is the path of a directory with the files of an authority, a cluster key and the certificates of VMs.
type Directory string

// Files returns the paths of a VM's TLS files.
func (d Directory) Files(name cassiaid.VMName) *cassiaschema.TlsFiles {
	return &cassiaschema.TlsFiles{
		Certificate: d.path(string(name) + ".pem"),
		Key:         d.path(string(name) + "-key.pem"),
		Authority:   d.path("authority.pem"),
	}
}

// ClusterKeyFile returns the path of the cluster key file.
func (d Directory) ClusterKeyFile() string { return d.path("cluster.key") }

func (d Directory) path(file string) string { return filepath.Join(string(d), file) }

func (d Directory) authorityKeyFile() string { return d.path("authority-key.pem") }

// Issue writes certificates and keys for VMs, signed by the directory's authority. It creates the directory, the
// authority and the cluster key if they are missing, and replaces earlier files of the VMs. It returns a *NameError for
// a name that cannot be part of a file name, and a *FileError if a file cannot be read or written.
func (d Directory) Issue(now time.Time, lifetime time.Duration, names ...cassiaid.VMName) error {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return &FileError{File: string(d), Cause: err}
	}
	authority, err := d.authority(now)
	if err != nil {
		return err
	}
	if err := d.ensureClusterKey(); err != nil {
		return err
	}
	for _, name := range names {
		if !isValidFileName(name) {
			return &NameError{Name: name}
		}
		certificate, key, err := authority.Issue(name, now, lifetime)
		if err != nil {
			return err
		}
		files := d.Files(name)
		if err := writeFile(files.GetKey(), key); err != nil {
			return err
		}
		if err := writeFile(files.GetCertificate(), certificate); err != nil {
			return err
		}
	}
	return nil
}

// isValidFileName reports whether a VM's name can be part of a file name and is not "authority", which is used in the
// names of the authority's files.
func isValidFileName(name cassiaid.VMName) bool {
	return name != "" && name != "." && name != "authority" && filepath.Base(string(name)) == string(name)
}

// authority reads the directory's authority, or creates one if there is no certificate file.
func (d Directory) authority(now time.Time) (*Authority, error) {
	file := d.Files("").GetAuthority()
	certificate, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return d.newAuthority(now)
	}
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	key, err := os.ReadFile(d.authorityKeyFile())
	if err != nil {
		return nil, &FileError{File: d.authorityKeyFile(), Cause: err}
	}
	authority, err := ParseAuthority(certificate, key)
	if err != nil {
		return nil, &FileError{File: d.authorityKeyFile(), Cause: err}
	}
	return authority, nil
}

func (d Directory) newAuthority(now time.Time) (*Authority, error) {
	a, err := NewAuthority(now)
	if err != nil {
		return nil, err
	}
	certificate, key, err := a.Encode()
	if err != nil {
		return nil, err
	}
	if err := writeFile(d.authorityKeyFile(), key); err != nil {
		return nil, err
	}
	return a, writeFile(d.Files("").GetAuthority(), certificate)
}

// ensureClusterKey writes a new cluster key if there is none.
func (d Directory) ensureClusterKey() error {
	if _, err := os.Stat(d.ClusterKeyFile()); err == nil {
		return nil
	}
	key, err := NewClusterKey()
	if err != nil {
		return err
	}
	return writeFile(d.ClusterKeyFile(), []byte(key+"\n"))
}

// parsePEM parses the first PEM block, which must be of the given type.
func parsePEM[T any](content []byte, kind string, parse func([]byte) (T, error)) (T, error) {
	block, _ := pem.Decode(content)
	if block == nil || block.Type != kind {
		var none T
		return none, errors.New("the first block is missing or not a PEM " + kind + " block")
	}
	return parse(block.Bytes)
}

// writeFile replaces a file atomically, by renaming a temporary file.
func writeFile(file string, content []byte) error {
	next := file + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return &FileError{File: file, Cause: err}
	}
	if err := os.Rename(next, file); err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}
