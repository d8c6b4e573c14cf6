package table

import (
	"reflect"
	"testing"
)

// checkRoundTrip verifies that accepted rows are valid and unchanged after encoding and decoding in both formats.
func checkRoundTrip(t *testing.T, rows []Row) {
	t.Helper()
	if err := Validate(rows); err != nil {
		t.Fatalf("accepted rows are not valid: %v", err)
	}
	again, err := ParseCSV(FormatCSV(rows))
	if err != nil || len(again) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(again, rows) {
		t.Fatalf("CSV format changes the rows: %v\n%+v\n%+v", err, rows, again)
	}
	data, err := FormatJSON(&Version{Number: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxInputBytes {
		return
	}
	v, err := ParseJSON(data)
	if err != nil || len(v.Rows) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(v.Rows, rows) {
		t.Fatalf("JSON format changes the rows: %v\n%+v\n%+v", err, rows, v)
	}
}

// Guards against CSV input that causes a panic, is accepted with values outside their limits, or changes when encoded and
// decoded again.
func FuzzParseCSV(f *testing.F) {
	f.Add(FormatCSV(sampleRows()))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, err := ParseCSV(data); err == nil {
			checkRoundTrip(t, rows)
		}
	})
}

// Guards against the same failures with JSON input.
func FuzzParseJSON(f *testing.F) {
	data, err := FormatJSON(&Version{Number: 3, Author: "furano", Rows: sampleRows()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := ParseJSON(data); err == nil {
			checkRoundTrip(t, v.Rows)
		}
	})
}
