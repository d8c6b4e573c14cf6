package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

const entryFile = `{
  "instance": "entry-1", "zone": "tw-central-a", "listen": "127.0.0.1:8080", "operator_listen": "127.0.0.1:8081",
  "peer_listen": "127.0.0.1:8082", "store_url": "http://127.0.0.1:9000", "instances_url": "http://127.0.0.1:9001",
  "tls": {"ca_file": "ca.pem", "cert_file": "cert.pem", "key_file": "key.pem"}, "signing_key_file": "sign.pem"
}`

var statedDefault = regexp.MustCompile(`Default "?([^ ,"]+?)"?[.,]`)

const sidecarFile = `{
  "instance": "lm-pool-1", "zone": "tw-central-a", "owner": "jadestone", "service": "lm-pool", "kind": "engine",
  "upstream_url": "http://127.0.0.1:9100", "peer_listen": "127.0.0.1:8090", "store_url": "http://127.0.0.1:9000",
  "tls": {"ca_file": "ca.pem", "cert_file": "cert.pem", "key_file": "key.pem"}, "signing_key_file": "sign.pem",
  "models": ["tile-lm"]
}`

// Guards against absent fields that get no default or a wrong one, in a file or in settings built in code.
func TestDefaultsOfAbsentFields(t *testing.T) {
	cfg, err := settings.Parse[settings.Entry]([]byte(entryFile))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.SidecarsPerService != 48 || cfg.Limits.BodyBytes != 1048000 || cfg.Log.Level != "info" ||
		cfg.DrainTimeout != settings.Duration(10*time.Minute) || cfg.StoreCallsPerSecond != 40 {
		t.Fatalf("defaults: %+v", cfg)
	}
	inCode := settings.Entry{Limits: settings.Limits{Queue: 7}}
	settings.ApplyDefaults(&inCode)
	if inCode.Limits.Queue != 7 || inCode.Limits.MaxTokens != 32768 || inCode.DrainTimeout != cfg.DrainTimeout {
		t.Fatalf("applied defaults: %+v", inCode)
	}
	if _, err := settings.Parse[settings.Sidecar]([]byte(sidecarFile)); err != nil {
		t.Fatal(err)
	}
}

// Guards against settings without a doc comment, and against doc comments that state another default than the tag.
func TestDocCommentsStateDefaults(t *testing.T) {
	for _, f := range append(settings.Fields[settings.Entry](), settings.Fields[settings.Sidecar]()...) {
		if f.Doc == "" {
			t.Errorf("%s has no doc comment", f.Path)
		}
		stated := ""
		if m := statedDefault.FindStringSubmatch(f.Doc); m != nil {
			stated = m[1]
		}
		if stated != f.Default {
			t.Errorf("%s: doc comment %q, default %q", f.Path, f.Doc, f.Default)
		}
	}
}

// Guards against an invalid setting that is accepted, or whose error does not state the field, its value and what is allowed.
func TestInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, message string }{
		{"unknown", `"zone"`, `"zome"`, `settings: zome is "tw-central-a": is an unknown field; allowed here are instance, zone, `},
		{"missing", `"zone": "tw-central-a", `, ``, `settings: zone: is missing; it must be a name `},
		{"nested missing", `"ca_file": "ca.pem", `, ``, `settings: tls.ca_file: is missing; it must be the name of a file`},
		{"missing object", `"tls"`, `"limits": {}, "tl"`, `settings: tl is {`},
		{"range", `"zone"`, `"limits": {"body_bytes": 5}, "zone"`, `settings: limits.body_bytes is 5: must be a whole number of bytes, from 1024 to 1048000`},
		{"type", `"zone"`, `"sidecars_per_service": "48", "zone"`, `settings: sidecars_per_service is "48": must be a whole number of sidecars, from 1 to 1024`},
		{"unit", `"zone"`, `"drain_timeout": "10", "zone"`, `settings: drain_timeout is "10": must be a duration with a unit, such as "250ms" or "10m", from 1s to 24h`},
		{"number as duration", `"zone"`, `"drain_timeout": 10, "zone"`, `settings: drain_timeout is 10: must be a duration with a unit`},
		{"duration range", `"zone"`, `"drain_timeout": "1ms", "zone"`, `settings: drain_timeout is "1ms": must be a duration`},
		{"choice", `"zone"`, `"log": {"level": "loud"}, "zone"`, `settings: log.level is "loud": must be one of "error", "warn", "info", "debug"`},
		{"address", `127.0.0.1:8080`, `8080`, `settings: listen is "8080": must be HOST:PORT`},
		{"url", `http://127.0.0.1:9000`, `127.0.0.1:9000`, `settings: store_url is "127.0.0.1:9000": must be an http or https URL`},
		{"null", `"entry-1"`, `null`, `settings: instance is null: must be a name`},
		{"syntax", `"zone"`, `zone`, `settings: not valid JSON: line 2: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse[settings.Entry]([]byte(strings.Replace(entryFile, c.old, c.new, 1)))
			var invalid *settings.Error
			if !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), c.message) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v, want %s", err, c.message)
			}
		})
	}
}

type listSettings struct {
	Items []struct {
		Rate float64 `json:"rate" min:"1" unit:"requests per second"`
	} `json:"items"`
}

// Guards against an error about a value in a list that does not state the element's index.
func TestListOfObjects(t *testing.T) {
	for text, message := range map[string]string{
		`{"items":[{"rate":2},{"rate":0}]}`: "settings: items[1].rate is 0: must be a number of requests per second, at least 1",
		`{"items":[{"rat":2}]}`:             "settings: items[0].rat is 2: is an unknown field; allowed here are rate",
		`{"items":{}}`:                      "settings: items is {}: must be a list of objects",
	} {
		if _, err := settings.Parse[listSettings]([]byte(text)); err == nil || err.Error() != message {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Guards against an engine sidecar whose settings name no model.
func TestEngineNeedsModels(t *testing.T) {
	_, err := settings.Parse[settings.Sidecar]([]byte(strings.Replace(sidecarFile, `["tile-lm"]`, `[]`, 1)))
	if err == nil || !strings.Contains(err.Error(), "models") {
		t.Fatalf("error %v", err)
	}
}

// Guards against an error of Load that does not name the file.
func TestLoadNamesFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	if _, err := settings.Load[settings.Entry](file); err == nil || !strings.Contains(err.Error(), "entry.json: cannot be read: no such file") {
		t.Fatalf("error %v", err)
	}
	if err := os.WriteFile(file, []byte(`[]`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Load[settings.Entry](file); err == nil || !strings.Contains(err.Error(), "entry.json is []: must be an object") {
		t.Fatalf("error %v", err)
	}
}

// Guards against a panic, and against accepted settings that change when they are encoded and parsed again.
func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(entryFile))
	f.Add([]byte(`{"tls":null}`))
	f.Add([]byte(`{"limits":{"timeout":"-1s"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := settings.Parse[settings.Entry](data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := settings.Parse[settings.Entry](encoded); err != nil || decoded != cfg {
			t.Fatalf("%+v encoded and parsed again is %+v, error %v", cfg, decoded, err)
		}
	})
}

// Guards against an edge that does not start with the deployed settings, or that accepts a key in place of its hash.
func TestDeployedEdgeSettings(t *testing.T) {
	cfg, err := settings.Load[settings.Edge](filepath.Join("..", "..", "..", "deploy", "edge.json"))
	if err != nil || cfg.MetricsPort == 0 {
		t.Errorf("deployed settings: %+v, %v", cfg, err)
	}
	for _, file := range []string{`{"operator_key_sha256": "secret"}`, `{"operator_key_sha256": "abcd"}`} {
		if _, err := settings.Parse[settings.Edge]([]byte(file)); err == nil {
			t.Errorf("%s is accepted", file)
		}
	}
}
