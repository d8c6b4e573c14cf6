package cli_test

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dragonflypin/dragonflypin/internal/version/directory"
)

type authorityKey struct{}

// authority is the CA of one script.
type authority struct {
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

func template(commonName string, ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: commonName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca, BasicConstraintsValid: ca, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

func writePEM(ts *testscript.TestScript, name, kind string, der []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func writeKey(ts *testscript.TestScript, name string, key ed25519.PrivateKey) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	writePEM(ts, name, "PRIVATE KEY", der)
}

// keyFiles implements keyfiles ROLE INSTANCE, which writes ca.pem and cert-, key- and signing-INSTANCE.pem. It also sets
// K1_HASH and K2_HASH to the hashes of the keys k1 and k2, for the directory.
func keyFiles(ts *testscript.TestScript, _ bool, args []string) {
	ca := ts.Value(authorityKey{}).(*authority)
	if ca.cert == nil {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		ts.Check(err)
		der, err := x509.CreateCertificate(rand.Reader, template("test CA", true), template("test CA", true), public, private)
		ts.Check(err)
		ca.cert, err = x509.ParseCertificate(der)
		ts.Check(err)
		ca.key = private
		writePEM(ts, "ca.pem", "CERTIFICATE", der)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	ts.Check(err)
	der, err := x509.CreateCertificate(rand.Reader, template(args[0]+"."+args[1], false), ca.cert, public, ca.key)
	ts.Check(err)
	writePEM(ts, "cert-"+args[1]+".pem", "CERTIFICATE", der)
	writeKey(ts, "key-"+args[1]+".pem", private)
	_, signing, err := ed25519.GenerateKey(rand.Reader)
	ts.Check(err)
	writeKey(ts, "signing-"+args[1]+".pem", signing)
	ts.Setenv("K1_HASH", directory.HashKey("k1"))
	ts.Setenv("K2_HASH", directory.HashKey("k2"))
}

// ports implements ports NAME..., which sets each variable to a loopback address with a free TCP port.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer func() { _ = l.Close() }()
		ts.Setenv(name, l.Addr().String())
	}
}

// expand implements expand FILE, which replaces $NAME in a file with the value of the variable.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(os.Expand(ts.ReadFile(args[0]), ts.Getenv)), 0o600))
}

// serving implements serving URL, which waits until the URL returns status 200.
func serving(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(args[0])
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s did not return status 200: %v", strings.TrimSpace(args[0]), err)
		}
	}
}
