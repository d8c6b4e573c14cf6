package table

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MethodFetch is the peer call that returns a newer version.
const MethodFetch = "table.fetch"

// FetchRequest is the argument of MethodFetch.
type FetchRequest struct {
	// Have is the highest version known to the caller, 0 for none.
	Have uint64 `cbor:"1,keyasint"`
	// Sum is the checksum of that version's rows.
	Sum string `cbor:"2,keyasint,omitempty"`
}

// FetchReply is the result of MethodFetch. Without a newer version only Number and Sum are set.
type FetchReply struct {
	// Number is the highest version known to the answering side.
	Number uint64 `cbor:"1,keyasint"`
	// Sum is the checksum of its rows.
	Sum    string `cbor:"2,keyasint,omitempty"`
	Author string `cbor:"3,keyasint,omitempty"`
	Reason string `cbor:"4,keyasint,omitempty"`
	// TimeMs is the time of acceptance in Unix milliseconds.
	TimeMs int64  `cbor:"5,keyasint,omitempty"`
	Edit   string `cbor:"6,keyasint,omitempty"`
	// Base is the version that Rows and Removed apply to; 0 means that Rows is the whole table.
	Base    uint64     `cbor:"7,keyasint,omitempty"`
	Rows    []rowFrame `cbor:"8,keyasint,omitempty"`
	Removed []string   `cbor:"9,keyasint,omitempty"`
}

// rowFrame is a row between processes; durations are in milliseconds.
type rowFrame struct {
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

func toFrame(r *Row) rowFrame {
	return rowFrame{
		Class: r.Class, Owner: r.Owner, Shared: r.Shared, Priority: r.Priority, Weight: r.Weight, Protected: r.Protected,
		TTFTTargetMs: r.TTFTTarget.Milliseconds(), TokenTargetMs: r.TokenTarget.Milliseconds(), MaxWaitMs: r.MaxWait.Milliseconds(),
		RequestRate: r.RequestRate, TokenRate: r.TokenRate, Concurrency: r.Concurrency, TimeoutMs: r.Timeout.Milliseconds(), Hedge: r.Hedge,
	}
}

func (f *rowFrame) row() Row {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return Row{
		Class: f.Class, Owner: f.Owner, Shared: f.Shared, Priority: f.Priority, Weight: f.Weight, Protected: f.Protected,
		TTFTTarget: ms(f.TTFTTargetMs), TokenTarget: ms(f.TokenTargetMs), MaxWait: ms(f.MaxWaitMs),
		RequestRate: f.RequestRate, TokenRate: f.TokenRate, Concurrency: f.Concurrency, Timeout: ms(f.TimeoutMs), Hedge: f.Hedge,
	}
}

// reply builds the answer to a caller that has the rows of base, which may be nil.
func reply(current, base *Compiled) FetchReply {
	v := current.Version()
	r := FetchReply{
		Number: v.Number, Sum: current.Sum(), Author: v.Author, Reason: v.Reason, TimeMs: v.Time.UnixMilli(), Edit: v.Edit,
	}
	if base == nil {
		for i := range v.Rows {
			r.Rows = append(r.Rows, toFrame(&v.Rows[i]))
		}
		return r
	}
	r.Base = base.Number()
	for _, c := range Diff(base.Version().Rows, v.Rows) {
		if c.After == nil {
			r.Removed = append(r.Removed, c.Class)
		} else {
			r.Rows = append(r.Rows, toFrame(c.After))
		}
	}
	return r
}

// version rebuilds the version from the reply and the receiver's own rows, and verifies its checksum.
func (r *FetchReply) version(own *Compiled) (*Version, error) {
	rows := map[string]Row{}
	if r.Base != 0 {
		if own == nil || own.Number() != r.Base {
			return nil, fmt.Errorf("table version %d is based on version %d, which is not in force here", r.Number, r.Base)
		}
		for _, row := range own.Version().Rows {
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
	if err := Check(v.Rows); err != nil {
		return nil, fmt.Errorf("table version %d from a peer: %w", r.Number, err)
	}
	if sum := Compile(v).Sum(); sum != r.Sum {
		return nil, fmt.Errorf("table version %d from a peer has checksum %s, announced %s", r.Number, sum, r.Sum)
	}
	return v, nil
}

var fetchDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 2 * MaxRows, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}
