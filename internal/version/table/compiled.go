package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// Compiled is a version indexed by class and with a checksum. It is immutable.
type Compiled struct {
	version *Version
	index   map[string]*Row
	sum     string
}

// Compile indexes a version, which must not be changed afterwards.
func Compile(v *Version) *Compiled {
	sum := sha256.Sum256(FormatCSV(v.Rows))
	return &Compiled{version: v, index: indexByClass(v.Rows), sum: hex.EncodeToString(sum[:])}
}

// Row returns the row of a class. The caller must not change it.
func (c *Compiled) Row(class string) (*Row, bool) {
	row, ok := c.index[class]
	return row, ok
}

// Number returns the version's number.
func (c *Compiled) Number() uint64 { return c.version.Number }

// Version returns the version. The caller must not change it.
func (c *Compiled) Version() *Version { return c.version }

// Checksum returns the checksum of the version: the hex SHA-256 of its rows in CSV format.
func (c *Compiled) Checksum() string { return c.sum }
