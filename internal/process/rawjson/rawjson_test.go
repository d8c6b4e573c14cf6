package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/process/rawjson"
	"pgregory.net/rapid"
)

// Guards against documents that are split in another way than encoding/json does.
func TestPartsAreThoseOfTheDocument(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) any { return drawValue(t, 3) })
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.MapOf(rapid.String(), value).Draw(t, "object")
		data, err := json.MarshalIndent(object, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		if err != nil {
			t.Fatal(err)
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		got, err := rawjson.Fields(data)
		if err != nil || len(got) != len(want) {
			t.Fatalf("%s: %d fields, %v", data, len(got), err)
		}
		for name := range want {
			if string(got[name]) != string(want[name]) {
				t.Fatalf("%s: field %q is %s", data, name, got[name])
			}
		}
		array := rapid.SliceOf(value).Draw(t, "array")
		if data, err = json.Marshal(array); err != nil {
			t.Fatal(err)
		}
		elements, err := rawjson.Elements(data)
		if err != nil || len(elements) != len(array) {
			t.Fatalf("%s: %d elements, %v", data, len(elements), err)
		}
	})
}

func drawValue(t *rapid.T, depth int) any {
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case kind == 0 && depth > 0:
		return map[string]any{rapid.String().Draw(t, "name"): drawValue(t, depth-1), "b": []any{drawValue(t, depth-1)}}
	case kind == 1:
		return rapid.Float64Range(-1e9, 1e9).Draw(t, "number")
	case kind == 2:
		return nil
	case kind == 3:
		return true
	default:
		return rapid.String().Draw(t, "text")
	}
}

// Guards against a part without bounds on its depth that invalidates the others, and against documents that end early or never.
func TestOddDocuments(t *testing.T) {
	deep := strings.Repeat(`[`, 200_000) + strings.Repeat(`]`, 200_000)
	elements, err := rawjson.Elements([]byte(`[1, ` + deep + `, {"a": ` + deep + `}, "x"]`))
	if err != nil || len(elements) != 4 || string(elements[3]) != `"x"` {
		t.Errorf("%d elements, %v", len(elements), err)
	}
	for _, bad := range []string{"", "{", "[", "[1", "[1,", "[,]", "[1,]", "[1 2]", "[]]", "[] x", `["a]`, `["\`, "1", "{}"} {
		if got, err := rawjson.Elements([]byte(bad)); err == nil {
			t.Errorf("%q: elements %q", bad, got)
		}
	}
	for _, bad := range []string{"", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a" 1}`, `{a: 1}`, `{1: 1}`, `{"a": 1,}`, `{"a":}`, "[]", "null", `{"a": 1}}`} {
		if got, err := rawjson.Fields([]byte(bad)); err == nil && len(got["a"]) > 0 {
			t.Errorf("%q: fields %q", bad, got)
		}
	}
}

func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a": [1, {"b": "}"}], "c": null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = rawjson.Fields(data)
		_, _ = rawjson.Elements(data)
	})
}
