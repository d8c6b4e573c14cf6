package table

import (
	"context"
	"errors"
	"flag"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func row(class, owner string, weight int) Row {
	return Row{Class: class, Owner: owner, Priority: 3, Weight: weight, TTFTTarget: 600 * time.Millisecond}
}

func sampleRows() []Row {
	rows := []Row{row("cert", "furano", 5), row("chat", "jadestone", 3), row("draft", "jadestone", 1)}
	rows[0].Protected, rows[0].TokenRate, rows[0].MaxWait = true, 12.5, 90*time.Second
	rows[2].Shared, rows[2].Hedge, rows[2].Concurrency, rows[2].Timeout = true, true, 7, time.Hour
	return rows
}

func withRow(rows []Row, changed Row) []Row {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Class == changed.Class })
	rows = append(rows, changed)
	sortRows(rows)
	return rows
}

// Guards against values that change when a table is encoded and decoded again.
func TestFormatsRoundTrip(t *testing.T) {
	v := &Version{Number: 4, Author: "furano", Reason: "x, \"y\"", Time: time.Unix(1e9, 0).UTC(), Edit: "e", Rows: sampleRows()}
	rows, err := ParseCSV(FormatCSV(v.Rows))
	if err != nil || !reflect.DeepEqual(rows, v.Rows) {
		t.Errorf("CSV: %+v, %v", rows, err)
	}
	data, err := FormatJSON(v)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseJSON(data)
	if err != nil || !reflect.DeepEqual(got, v) {
		t.Errorf("JSON: %+v, %v", got, err)
	}
}

// Guards against rejecting a file that a spreadsheet saved, with a byte order mark, CRLF and booleans in upper case.
func TestParseCSVFromSpreadsheet(t *testing.T) {
	text := "\xef\xbb\xbf" + strings.ReplaceAll(string(FormatCSV(sampleRows())), "true", "TRUE")
	lines := strings.Split(strings.ReplaceAll(text, "\n", ",\"\"\r\n"), "\r\n")
	for i, line := range lines {
		lines[i] = strings.TrimSuffix(line, ",\"\"")
	}
	rows, err := ParseCSV([]byte(strings.Join(lines, "\r\n")))
	if err != nil || !reflect.DeepEqual(rows, sampleRows()) {
		t.Errorf("%+v, %v", rows, err)
	}
}

// Guards against errors that do not report the line, the column and the allowed values, and against reporting only the
// first error.
func TestProblemsReportLineColumnAndValue(t *testing.T) {
	text := string(FormatCSV(sampleRows()))
	text = strings.Replace(text, "1m30s", "90", 1)
	text = strings.Replace(text, "chat,jadestone,false,3,3", "chat,jadestone,maybe,9,0", 1)
	text = strings.Replace(text, "draft", "chat", 1)
	_, err := ParseCSV([]byte(text))
	var p *ValidationError
	if !errors.As(err, &p) {
		t.Fatalf("got %v", err)
	}
	want := []string{
		`line 2: column max_wait: value "90" is not allowed; allowed: ` + allowedDuration,
		`line 3: column shared: value "maybe" is not allowed; allowed: true or false`,
		`line 3: column priority: value "9" is not allowed; allowed: a whole number from 1 to 8`,
		`line 3: column weight: value "0" is not allowed; allowed: a whole number from 1 to 1000`,
		`line 4: column class: value "chat" is not allowed; allowed: each class once; it is on line 3 already`,
	}
	if got := strings.Split(err.Error(), "\n"); !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	for text, want := range map[string]string{
		"":                                      "line 1: the header line with the column names is missing",
		"class,colour":                          `line 1: unknown column "colour"`,
		"class,class":                           `line 1: column "class" occurs twice`,
		"class,owner":                           `line 1: column "weight" is missing`,
		string(FormatCSV(nil)) + "a,b":          "line 2: 2 values; allowed: 14, one for each column",
		string(FormatCSV(nil)) + "a,\"b":        "line 2: ",
		strings.Repeat("x", MaxInputBytes+1):    "the table has 1048577 bytes",
		strings.Replace(text, "12.5", "NaN", 1): `column token_rate: value "NaN" is not allowed`,
	} {
		if _, err := ParseCSV([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: got %v, want %q", text, err, want)
		}
	}
	for text, want := range map[string]string{
		`{"rows":1}`:                             "rows must be a list of rows",
		`{}`:                                     "rows must be a list of rows",
		`{"rows":[1]}`:                           "line 1: a row must be an object",
		"{\"rows\":[\n{\"class\":1}\n]}":         `line 2: column class: value "1" is not allowed`,
		"{\"rows\":[\n{\"colour\":1}\n]}":        `line 2: unknown field "colour"`,
		"{\"rows\":[],\n\"extra\":1}":            `unknown field "extra"`,
		"{\"rows\":[]}\n{}":                      "line 2: text after the end",
		"{\"rows\":[\n{\"priority\":\"1\"}\n]}":  `line 2: column priority: value "1" is not allowed`,
		"{\"rows\":[\n{\"owner\":\"Big One\"}]}": `column owner: value "Big One" is not allowed`,
	} {
		if _, err := ParseJSON([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// Guards against an owner who changes, shares or removes a row of another owner, or changes the owner of a row.
func TestOwnership(t *testing.T) {
	base := sampleRows()
	without := func(class string) []Row {
		return slices.DeleteFunc(slices.Clone(base), func(r Row) bool { return r.Class == class })
	}
	edit := func(class string, change func(*Row)) []Row {
		rows := slices.Clone(base)
		for i := range rows {
			if rows[i].Class == class {
				change(&rows[i])
			}
		}
		return rows
	}
	for name, test := range map[string]struct {
		author string
		rows   []Row
		ok     bool
	}{
		"own row":               {"furano", edit("cert", func(r *Row) { r.Weight = 9 }), true},
		"shared row":            {"furano", edit("draft", func(r *Row) { r.Weight = 9 }), true},
		"new own row":           {"furano", withRow(base, row("new", "furano", 1)), true},
		"remove own row":        {"furano", without("cert"), true},
		"other's row":           {"furano", edit("chat", func(r *Row) { r.Weight = 9 }), false},
		"owner of other's row":  {"furano", edit("chat", func(r *Row) { r.Owner = "furano" }), false},
		"owner of shared row":   {"furano", edit("draft", func(r *Row) { r.Owner = "furano" }), false},
		"owner of own row":      {"furano", edit("cert", func(r *Row) { r.Owner = "jadestone" }), false},
		"unshare other's row":   {"furano", edit("draft", func(r *Row) { r.Shared = false }), false},
		"remove shared row":     {"furano", without("draft"), false},
		"new row for the other": {"furano", withRow(base, row("new", "jadestone", 1)), false},
	} {
		err := CheckOwnership(test.author, Diff(base, test.rows))
		if (err == nil) != test.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

type publisherFixture struct {
	*Publisher
	store *storetest.Memory
	known *Compiled
}

func newPublisherFixture(t *testing.T) *publisherFixture {
	p := &publisherFixture{store: storetest.New()}
	p.Publisher = NewPublisher(p.store, func() *Compiled { return p.known }, func(*Version) {})
	for _, owner := range []string{"furano", "jadestone"} {
		rows := slices.DeleteFunc(sampleRows(), func(r Row) bool { return r.Owner != owner })
		if p.known != nil {
			rows = append(rows, p.known.Version().Rows...)
			sortRows(rows)
		}
		base := uint64(0)
		if p.known != nil {
			base = p.known.Number()
		}
		v, err := p.Apply(t.Context(), Edit{Author: owner, Reason: "first", Base: base, Rows: rows})
		if err != nil {
			t.Fatal(err)
		}
		p.known = Compile(v)
	}
	p.known = nil
	return p
}

// Guards against losing one of two concurrent edits of different rows, and against overwriting an edit of the same row.
func TestRebaseByRow(t *testing.T) {
	p := newPublisherFixture(t)
	base := sampleRows()
	cert, chat := base[0], base[1]
	cert.Weight, chat.Weight = 50, 30
	if _, err := p.Apply(t.Context(), Edit{Author: "furano", Reason: "harvest", Base: 2, Rows: withRow(base, cert)}); err != nil {
		t.Fatal(err)
	}
	v, err := p.Apply(t.Context(), Edit{Author: "jadestone", Reason: "sale", Base: 2, Rows: withRow(base, chat)})
	if err != nil || v.Number != 4 {
		t.Fatalf("edit of another row: %+v, %v", v, err)
	}
	if !reflect.DeepEqual(v.Rows, withRow(withRow(base, cert), chat)) {
		t.Errorf("rows after both edits: %+v", v.Rows)
	}
	cert.Weight = 60
	_, err = p.Apply(t.Context(), Edit{Author: "furano", Base: 2, Rows: withRow(base, cert)})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("edit of the same row: %v", err)
	}
	c := conflict.Conflicts[0]
	if len(conflict.Conflicts) != 1 || c.Class != "cert" || c.Version != 3 || c.Author != "furano" || c.Reason != "harvest" {
		t.Errorf("conflict does not report the other change: %+v", conflict)
	}
}

// Guards against accepting an edit twice, or reporting it as rejected, if the store's response is lost.
func TestEditWithLostStoreResponse(t *testing.T) {
	p := newPublisherFixture(t)
	changed := sampleRows()[0]
	changed.Weight = 77
	lostResponses := 0
	p.store.SetHook(func(op store.Op, _, _ string) error {
		if op == store.OpCreate {
			lostResponses++
			p.store.SetFaults(storetest.Faults{LoseResponses: lostResponses < 3})
		}
		return nil
	})
	p.store.SetFaults(storetest.Faults{LoseResponses: true})
	e := Edit{ID: "mine", Author: "furano", Base: 2, Rows: withRow(sampleRows(), changed)}
	v, err := p.Apply(t.Context(), e)
	if err != nil || v.Number != 3 || v.Edit != "mine" {
		t.Fatalf("%+v, %v", v, err)
	}
	again, err := p.Apply(t.Context(), e)
	if err != nil || again.Number != 3 {
		t.Errorf("retry of the same edit: %+v, %v", again, err)
	}
	// The write takes effect, but its response is lost and all later reads fail.
	p.store.SetHook(func(op store.Op, _, _ string) error {
		if op == store.OpCreate {
			p.store.SetFaults(storetest.Faults{Outage: true, LoseResponses: true})
			p.store.SetHook(nil)
		}
		return nil
	})
	p.store.SetFaults(storetest.Faults{LoseResponses: true})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	changed.Weight = 78
	e = Edit{ID: "second", Author: "furano", Base: 3, Rows: withRow(v.Rows, changed)}
	if _, err := p.Apply(ctx, e); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("unresolved write: %v, want ErrUnknown", err)
	}
	p.store.SetFaults(storetest.Faults{})
	if v, err := p.Apply(t.Context(), e); err != nil || v.Number != 4 {
		t.Errorf("retry of the edit after the outage: %+v, %v", v, err)
	}
}

// Guards against a search that misses the end of a long log, or that reads the whole log.
func TestHeadOfLongLog(t *testing.T) {
	m := storetest.New()
	value := func(n uint64) []byte {
		data, err := FormatJSON(&Version{Number: n})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	l := Log{Client: m}
	if head, err := l.Head(t.Context(), 0); head != nil || err != nil {
		t.Errorf("empty log: %+v, %v", head, err)
	}
	for n := uint64(1); n <= 5000; n++ {
		if _, err := m.Create(t.Context(), Kind, ObjectName(n), value(n)); err != nil {
			t.Fatal(err)
		}
	}
	for _, known := range []uint64{0, 1, 2500, 4979, 4980, 4981, 4999, 5000} {
		before := m.Counts().Reads
		head, err := l.Head(t.Context(), known)
		if err != nil || known < 5000 && (head == nil || head.Number != 5000) || known == 5000 && head != nil {
			t.Errorf("head after %d: %+v, %v", known, head, err)
		}
		if reads := m.Counts().Reads - before; reads > 25 {
			t.Errorf("head after %d took %d reads", known, reads)
		}
	}
}

// Guards against a rebase that loses, adds or reorders rows, or whose result depends on the order of independent edits.
func TestRebaseProperties(t *testing.T) {
	classes := []string{"a", "b", "c", "d", "e"}
	rows := func(t *rapid.T, label string) []Row {
		var rows []Row
		for _, class := range classes {
			if weight := rapid.IntRange(0, 3).Draw(t, label+class); weight > 0 {
				rows = append(rows, row(class, "furano", weight))
			}
		}
		return rows
	}
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := rows(t, "base"), rows(t, "mine"), rows(t, "theirs")
		a, b := Diff(base, mine), Diff(base, theirs)
		if got, conflicts := Rebase(a, base); conflicts != nil || !slices.Equal(got, mine) {
			t.Fatalf("rebase of a diff onto its base returns %v, conflicts %v", got, conflicts)
		}
		got, conflicts := Rebase(a, theirs)
		var both []string
		for _, c := range a {
			if slices.ContainsFunc(b, func(d Change) bool { return d.Class == c.Class }) {
				both = append(both, c.Class)
			}
		}
		if !slices.Equal(conflicts, both) {
			t.Fatalf("conflicts %v, changed by both %v", conflicts, both)
		}
		if len(both) > 0 {
			return
		}
		other, conflicts := Rebase(b, mine)
		if conflicts != nil || !slices.Equal(got, other) {
			t.Fatalf("result depends on the order: %v and %v, conflicts %v", got, other, conflicts)
		}
	})
}
