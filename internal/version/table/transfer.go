package table

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MethodFetch is the method of the peer call that returns a newer version.
const MethodFetch = "table.fetch"

// FetchRequest is the request of MethodFetch.
type FetchRequest struct {
	// Have is the highest version known to the caller, 0 for none.
	Have uint64 `cbor:"1,keyasint"`
	// Checksum is that of the rows of version Have.
	Checksum string `cbor:"2,keyasint,omitempty"`
}

// FetchReply is the response of MethodFetch. If there is no newer version, only Number and Checksum are set.
type FetchReply struct {
	// Number is the highest version known to the responding entry.
	Number uint64 `cbor:"1,keyasint"`
	// Checksum is that of the rows of version Number.
	Checksum string `cbor:"2,keyasint,omitempty"`
	Author   string `cbor:"3,keyasint,omitempty"`
	Reason   string `cbor:"4,keyasint,omitempty"`
	// TimeMs is the time of acceptance in Unix milliseconds.
	TimeMs int64  `cbor:"5,keyasint,omitempty"`
	Edit   string `cbor:"6,keyasint,omitempty"`
	// Base is the version to which Rows and Removed are applied; 0 means that Rows is the whole table.
	Base    uint64       `cbor:"7,keyasint,omitempty"`
	Rows    []rowMessage `cbor:"8,keyasint,omitempty"`
	Removed []string     `cbor:"9,keyasint,omitempty"`
}

// rowMessage is the CBOR encoding of a row between processes. Durations are in milliseconds.
type rowMessage struct {
	Class         string  `cbor:"1,keyasint"`
	Owner         string  `cbor:"2,keyasint"`
	Shared        bool    `cbor:"3,keyasint,omitempty"`
	Priority      int     `cbor:"4,keyasint"`
	Weight        int     `cbor:"5,keyasint"`
	Protected     bool    `cbor:"6,keyasint,omitempty"`
	TTFTTargetMs  int64   `cbor:"7,keyasint,omitempty"`
	TokenTargetMs int64   `cbor:"8,keyasint,omitempty"`
	MaxWaitMs     int64   `cbor:"9,keyasint,omitempty"`
	RequestRate   float64 `cbor:"10,keyasint,omitempty"`
	TokenRate     float64 `cbor:"11,keyasint,omitempty"`
	Concurrency   int     `cbor:"12,keyasint,omitempty"`
	TimeoutMs     int64   `cbor:"13,keyasint,omitempty"`
	Hedge         bool    `cbor:"14,keyasint,omitempty"`
}

func toMessage(r *Row) rowMessage {
	return rowMessage{
		Class: r.Class, Owner: r.Owner, Shared: r.Shared, Priority: r.Priority, Weight: r.Weight, Protected: r.Protected,
		TTFTTargetMs: r.TTFTTarget.Milliseconds(), TokenTargetMs: r.TokenTarget.Milliseconds(), MaxWaitMs: r.MaxWait.Milliseconds(),
		RequestRate: r.RequestRate, TokenRate: r.TokenRate, Concurrency: r.Concurrency, TimeoutMs: r.Timeout.Milliseconds(), Hedge: r.Hedge,
	}
}

func (f *rowMessage) row() Row {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return Row{
		Class: f.Class, Owner: f.Owner, Shared: f.Shared, Priority: f.Priority, Weight: f.Weight, Protected: f.Protected,
		TTFTTarget: ms(f.TTFTTargetMs), TokenTarget: ms(f.TokenTargetMs), MaxWait: ms(f.MaxWaitMs),
		RequestRate: f.RequestRate, TokenRate: f.TokenRate, Concurrency: f.Concurrency, Timeout: ms(f.TimeoutMs), Hedge: f.Hedge,
	}
}

// newFetchReply returns the changes from base to current, or the whole table if base is nil.
func newFetchReply(current, base *Compiled) FetchReply {
	v := current.Version()
	r := FetchReply{
		Number: v.Number, Checksum: current.Checksum(), Author: v.Author, Reason: v.Reason, TimeMs: v.Time.UnixMilli(), Edit: v.Edit,
	}
	if base == nil {
		for i := range v.Rows {
			r.Rows = append(r.Rows, toMessage(&v.Rows[i]))
		}
		return r
	}
	r.Base = base.Number()
	for _, c := range Diff(base.Version().Rows, v.Rows) {
		if c.After == nil {
			r.Removed = append(r.Removed, c.Class)
		} else {
			r.Rows = append(r.Rows, toMessage(c.After))
		}
	}
	return r
}

// version reconstructs the version from the reply and the receiver's current version, and verifies its checksum.
func (r *FetchReply) version(current *Compiled) (*Version, error) {
	rows := map[string]Row{}
	if r.Base != 0 {
		if current == nil || current.Number() != r.Base {
			return nil, fmt.Errorf("table version %d is based on version %d, which is not in force here", r.Number, r.Base)
		}
		for _, row := range current.Version().Rows {
			rows[row.Class] = row
		}
	}
	for _, class := range r.Removed {
		delete(rows, class)
	}
	for i := range r.Rows {
		rows[r.Rows[i].Class] = r.Rows[i].row()
	}
	v := &Version{Number: r.Number, Author: r.Author, Reason: r.Reason, Time: time.UnixMilli(r.TimeMs).UTC(), Edit: r.Edit}
	for _, row := range rows {
		v.Rows = append(v.Rows, row)
	}
	sortRows(v.Rows)
	if err := Validate(v.Rows); err != nil {
		return nil, fmt.Errorf("table version %d from a peer: %w", r.Number, err)
	}
	if sum := Compile(v).Checksum(); sum != r.Checksum {
		return nil, fmt.Errorf("table version %d from a peer has checksum %s, expected %s", r.Number, sum, r.Checksum)
	}
	return v, nil
}

var fetchDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 2 * MaxRows, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
