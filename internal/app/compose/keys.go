package compose

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Keys are the private keys of a process.
type Keys struct {
	// Credentials prove the identity of the process in sessions between entries and sidecars.
	Credentials *peer.Credentials
	// Signing signs usage segments.
	Signing ed25519.PrivateKey
}

// LoadKeys reads the files that the settings name. The error is a *settings.Error.
func LoadKeys(tls settings.TLS, signingKeyFile string) (Keys, error) {
	credentials, err := peer.LoadCredentials(tls)
	if err != nil {
		return Keys{}, &settings.Error{Path: "tls", Problem: err.Error()}
	}
	signing, err := loadSigningKey(signingKeyFile)
	if err != nil {
		return Keys{}, &settings.Error{Path: "signing_key_file", Value: fmt.Sprintf("%q", signingKeyFile), Problem: err.Error()}
	}
	return Keys{Credentials: credentials, Signing: signing}, nil
}

func loadSigningKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("must be a PEM file with an Ed25519 private key (PKCS #8)")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("must contain an Ed25519 private key (PKCS #8): %w", err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("must contain an Ed25519 private key, not %T", parsed)
	}
	return key, nil
}
