package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// devCertificateLifetime is the validity period of the certificates of a development CA.
const devCertificateLifetime = 7 * 24 * time.Hour

// Credentials holds the certificate of this process and the CA certificates that verify its peers.
type Credentials struct {
	// Identity is parsed from the certificate's common name, ROLE.INSTANCE.
	Identity    Identity
	certificate tls.Certificate
	roots       *x509.CertPool
}

// LoadCredentials reads the PEM files given in the settings.
func LoadCredentials(s settings.TLS) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", s.CertFile, s.KeyFile, err)
	}
	ca, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("CA file %q contains no PEM certificate", s.CAFile)
	}
	return newCredentials(cert, roots)
}

func newCredentials(cert tls.Certificate, roots *x509.CertPool) (*Credentials, error) {
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	id, err := parseIdentity(leaf.Subject.CommonName)
	if err != nil {
		return nil, err
	}
	return &Credentials{Identity: id, certificate: cert, roots: roots}, nil
}

func parseIdentity(commonName string) (Identity, error) {
	role, instance, ok := strings.Cut(commonName, ".")
	id := Identity{Role: wire.Role(role), Instance: instance}
	if !ok || instance == "" || (id.Role != wire.RoleEntry && id.Role != wire.RoleSidecar) {
		return Identity{}, fmt.Errorf("certificate common name %q is not ROLE.INSTANCE", commonName)
	}
	return id, nil
}

// serverTLS requires and verifies the dialling side's certificate.
func (c *Credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{wire.ALPN},
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.roots,
	}
}

// clientTLS verifies the certificate chain and the common name in VerifyConnection. InsecureSkipVerify turns off the
// standard verification, whose host name check fails because peers are dialled by IP address.
func (c *Credentials) clientTLS(want Identity) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{wire.ALPN},
		Certificates:       []tls.Certificate{c.certificate},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := c.verifyChain(state.PeerCertificates); err != nil {
				return err
			}
			got, err := parseIdentity(state.PeerCertificates[0].Subject.CommonName)
			if err != nil {
				return err
			}
			if got != want {
				return &IdentityError{Want: want, Got: got}
			}
			return nil
		},
	}
}

func (c *Credentials) verifyChain(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         c.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// DevCA issues certificates from an in-memory key, for the demo and for tests.
type DevCA struct {
	cert  *x509.Certificate
	key   *ecdsa.PrivateKey
	roots *x509.CertPool
}

// NewDevCA creates a CA whose key exists only in this process.
func NewDevCA() (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate("dragonflypin development CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.ExtKeyUsage = nil
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &DevCA{cert: cert, key: key, roots: roots}, nil
}

// Issue returns credentials with the common name ROLE.INSTANCE.
func (ca *DevCA) Issue(role wire.Role, instance string) (*Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate(string(role) + "." + instance)
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return nil, err
	}
	return newCredentials(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, ca.roots)
}

func certificateTemplate(commonName string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // crypto/rand does not return errors
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devCertificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}
