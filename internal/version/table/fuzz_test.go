package table

import (
	"reflect"
	"testing"
)

// checkReadable verifies that accepted rows are valid and survive both forms.
func checkReadable(t *testing.T, rows []Row) {
	t.Helper()
	if err := Check(rows); err != nil {
		t.Fatalf("accepted rows are not valid: %v", err)
	}
	again, err := ParseCSV(FormatCSV(rows))
	if err != nil || len(again) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(again, rows) {
		t.Fatalf("CSV form changes the rows: %v\n%+v\n%+v", err, rows, again)
	}
	data, err := FormatJSON(&Version{Number: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxInput {
		return
	}
	v, err := ParseJSON(data)
	if err != nil || len(v.Rows) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(v.Rows, rows) {
		t.Fatalf("JSON form changes the rows: %v\n%+v\n%+v", err, rows, v)
	}
}

// Guards against input that stops the process, is accepted with values outside their bounds, or changes when written.
func FuzzParseCSV(f *testing.F) {
	f.Add(FormatCSV(sampleRows()))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, err := ParseCSV(data); err == nil {
			checkReadable(t, rows)
		}
	})
}

// Guards against the same in the JSON form.
func FuzzParseJSON(f *testing.F) {
	data, err := FormatJSON(&Version{Number: 3, Author: "furano", Rows: sampleRows()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := ParseJSON(data); err == nil {
			checkReadable(t, v.Rows)
		}
	})
}
