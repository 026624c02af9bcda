package cassiatls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// Protocol is the application protocol that peers negotiate (ALPN).
	Protocol = "cassiasaddle/1"
	// checkInterval is the minimum time between two checks of the files for changes.
	checkInterval = time.Second
)

// Credentials holds a VM's certificate and the authority that must have issued its peers' certificates. Its methods may
// be called concurrently.
type Credentials struct {
	files  *cassiaschema.TlsFiles
	logger log.Logger
	scope  tally.Scope
	clock  clockwork.Clock

	mu      sync.Mutex
	checked time.Time
	// content holds the text of the certificate, key and authority files when they were last loaded.
	content [3]string
	current keyMaterial
}

// keyMaterial is a VM's certificate with its key, and the authority by which peers are verified.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Option configures Credentials.
type Option func(*Credentials)

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(c *Credentials) { c.logger = logger } }

// WithMetrics sets the scope of the counters.
func WithMetrics(scope tally.Scope) Option { return func(c *Credentials) { c.scope = scope } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Credentials) { c.clock = clock } }

// New returns credentials from a VM's files, which are reloaded when they change.
func New(files *cassiaschema.TlsFiles, options ...Option) (*Credentials, error) {
	c := &Credentials{files: files, logger: log.NewNopLogger(), scope: tally.NoopScope, clock: clockwork.NewRealClock()}
	c.apply(options)
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// NewIssued returns credentials that an authority issues to a VM. They are held in memory only and are not renewed.
func NewIssued(authority *Authority, name cassiaid.VMName, options ...Option) (*Credentials, error) {
	c := &Credentials{logger: log.NewNopLogger(), scope: tally.NoopScope, clock: clockwork.NewRealClock()}
	c.apply(options)
	certificate, key, err := authority.Issue(name, c.clock.Now(), DefaultLifetime)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, eris.Wrap(err, "parse the issued certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	c.current = keyMaterial{certificate: pair, authority: pool}
	return c, nil
}

func (c *Credentials) apply(options []Option) {
	for _, option := range options {
		option(c)
	}
	c.scope = c.scope.SubScope("tls")
	c.checked = c.clock.Now()
}

// load reads the files. After an error the previous certificate and authority stay in use.
func (c *Credentials) load() error {
	var content [3]string
	for i, file := range []string{c.files.GetCertificate(), c.files.GetKey(), c.files.GetAuthority()} {
		read, err := os.ReadFile(file)
		if err != nil {
			return &FileError{File: file, Cause: err}
		}
		content[i] = string(read)
	}
	if content == c.content {
		return nil
	}
	certificate, err := tls.X509KeyPair([]byte(content[0]), []byte(content[1]))
	if err != nil {
		return &FileError{File: c.files.GetCertificate(), Cause: err}
	}
	if _, err := certificateName(certificate.Leaf); err != nil {
		return &FileError{File: c.files.GetCertificate(), Cause: err}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM([]byte(content[2])) {
		return &FileError{File: c.files.GetAuthority(), Cause: errors.New("it contains no PEM certificate")}
	}
	c.content, c.current = content, keyMaterial{certificate: certificate, authority: authority}
	c.scope.Gauge("certificateExpiryUnixSeconds").Update(float64(certificate.Leaf.NotAfter.Unix()))
	return nil
}

// currentMaterial reloads the files if checkInterval has passed since the last check, and returns the current material.
func (c *Credentials) currentMaterial() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.files == nil {
		return c.current
	}
	if now.Sub(c.checked) < checkInterval {
		return c.current
	}
	c.checked = now
	if err := c.load(); err != nil {
		c.scope.Counter("reloadFailed").Inc(1)
		_ = level.Error(c.logger).Log("message", "TLS files not reloaded, previous certificates stay in use", "error", err)
	}
	return c.current
}

// Server returns the configuration for accepting connections of peers.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		SessionTicketsDisabled: true,
		// The peer's certificate is verified by VerifyConnection, which counts refusals.
		ClientAuth:     tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate() },
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// Client returns the configuration for connecting to a peer, which must present a certificate with that name.
func (c *Credentials) Client(peer cassiaid.VMName) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ServerName: string(peer),
		// The peer's certificate is verified by VerifyConnection, which counts refusals.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.certificate() },
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, string(peer), x509.ExtKeyUsageServerAuth)
		},
	}
}

func (c *Credentials) certificate() (*tls.Certificate, error) {
	certificate := c.currentMaterial().certificate
	return &certificate, nil
}

// verify refuses and counts a peer whose certificate is not issued by the authority, has expired or is not yet valid,
// or names another VM than the expected one. An empty expected name accepts any VM.
func (c *Credentials) verify(state tls.ConnectionState, expected string, usage x509.ExtKeyUsage) error {
	err := c.check(state.PeerCertificates, expected, usage)
	if err == nil {
		return nil
	}
	c.scope.Tagged(map[string]string{"reason": string(err.Reason)}).Counter("peerRefused").Inc(1)
	_ = level.Warn(c.logger).Log("message", "peer refused", "error", err)
	return err
}

func (c *Credentials) check(chain []*x509.Certificate, expected string, usage x509.ExtKeyUsage) *PeerError {
	if len(chain) == 0 {
		return &PeerError{Reason: PeerNoCertificate, Cause: errors.New("the peer sent no certificate")}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         c.currentMaterial().authority,
		Intermediates: intermediates,
		CurrentTime:   c.clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if invalid := (x509.CertificateInvalidError{}); errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return &PeerError{Reason: PeerExpired, Cause: err}
	}
	if err != nil {
		return &PeerError{Reason: PeerUnknownAuthority, Cause: err}
	}
	name, err := certificateName(chain[0])
	if err == nil && expected != "" && string(name) != expected {
		err = errors.New("the certificate names VM " + string(name) + ", expected " + expected)
	}
	if err != nil {
		return &PeerError{Reason: PeerWrongName, Cause: err}
	}
	return nil
}

// PeerName returns the name of the VM at the other end of a connection that was opened or accepted with Credentials.
func PeerName(state tls.ConnectionState) (cassiaid.VMName, error) {
	if len(state.PeerCertificates) == 0 {
		return "", &PeerError{Reason: PeerNoCertificate, Cause: errors.New("the peer sent no certificate")}
	}
	return certificateName(state.PeerCertificates[0])
}

// certificateName returns the VM's name from a certificate, which is its first DNS name.
func certificateName(certificate *x509.Certificate) (cassiaid.VMName, error) {
	if len(certificate.DNSNames) == 0 {
		return "", errors.New("the certificate has no DNS name")
	}
	return cassiaid.VMName(certificate.DNSNames[0]), nil
}
