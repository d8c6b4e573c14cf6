// Package directory contains the directory of workspaces and operators with their hashed API keys: its validation, lookups
// by key, and refresh from the store.
package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Directory is the value of the store object directory/current.
type Directory struct {
	Workspaces []Workspace `json:"workspaces"`
	Operators  []Operator  `json:"operators"`
}

// Workspace is one customer of an operator.
type Workspace struct {
	Name string `json:"name"`
	// Owner is the operator who is billed for the workspace.
	Owner string `json:"owner"`
	// KeySHA256 is the hex SHA-256 of the workspace's key.
	KeySHA256 string `json:"key_sha256"`
	// Classes are the classes that the workspace may use.
	Classes []string `json:"classes"`
	// DefaultClass is the class of requests that name none.
	DefaultClass string `json:"default_class"`
}

// Operator is an owner of workspaces and table rows.
type Operator struct {
	Owner     string `json:"owner"`
	KeySHA256 string `json:"key_sha256"`
}

// HashKey returns the hex SHA-256 of a key, as in the directory.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Workspace returns the workspace of a key. Each comparison of two hashes takes constant time.
func (d *Directory) Workspace(key string) (Workspace, bool) {
	hash := HashKey(key)
	found := -1
	for i := range d.Workspaces {
		if sameHash(hash, d.Workspaces[i].KeySHA256) {
			found = i
		}
	}
	if found < 0 {
		return Workspace{}, false
	}
	return d.Workspaces[found], true
}

// Operator returns the owner of an operator key.
func (d *Directory) Operator(key string) (string, bool) {
	hash := HashKey(key)
	owner, ok := "", false
	for _, o := range d.Operators {
		if sameHash(hash, o.KeySHA256) {
			owner, ok = o.Owner, true
		}
	}
	return owner, ok
}

// MayUse reports whether the workspace may use a class.
func (w *Workspace) MayUse(class string) bool { return slices.Contains(w.Classes, class) }

func sameHash(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
