// Package directory holds the workspaces and operators with their hashed keys.
package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// Directory is the object directory/current in the store.
type Directory struct {
	Workspaces []Workspace `json:"workspaces"`
	Operators  []Operator  `json:"operators"`
}

// Workspace is a customer of one owner.
type Workspace struct {
	Name string `json:"name"`
	// Owner is the operator who is billed.
	Owner string `json:"owner"`
	// KeySHA256 is the hex SHA-256 of the workspace's key.
	KeySHA256 string `json:"key_sha256"`
	// Classes are the classes that the workspace may use.
	Classes []string `json:"classes"`
	// DefaultClass applies when a request names none.
	DefaultClass string `json:"default_class"`
}

// Operator is one of the owners.
type Operator struct {
	Owner     string `json:"owner"`
	KeySHA256 string `json:"key_sha256"`
}

// HashKey returns the form in which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Workspace returns the workspace of a key. The comparison takes constant time per entry.
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

// MayUse tells whether the workspace may use a class.
func (w *Workspace) MayUse(class string) bool { return slices.Contains(w.Classes, class) }

func sameHash(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
