package cli

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/dragonflypin/dragonflypin/internal/process/usage"
)

type usageVerifyCommand struct {
	operatorOptions
	File string `long:"file" value-name:"EXPORT.csv" description:"verify this export instead of the stored record; requires --keys and no server"`
	Keys string `long:"keys" value-name:"KEYS.json" description:"file with the output of usage keys"`
}

// errInvalidUsage is returned if the record is not valid; the exit status is then 1.
var errInvalidUsage = errors.New("the usage record is not valid")

// Execute implements flags.Commander.
func (c *usageVerifyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if (c.File == "") != (c.Keys == "") {
		return newUsageError("--file and --keys must be given together")
	}
	if c.File != "" {
		return c.verifyFile()
	}
	body, err := c.call(operatorCall{method: http.MethodGet, path: "/usage/verify"})
	if err != nil {
		return err
	}
	return c.report(body)
}

// verifyFile verifies an export with the public keys from a file.
func (c *usageVerifyCommand) verifyFile() error {
	keys, err := readUsageKeys(c.Keys)
	if err != nil {
		return err
	}
	file, err := os.Open(c.File)
	if err != nil {
		return newUsageError(fmt.Sprintf("usage export: %v", err))
	}
	defer func() { _ = file.Close() }()
	report, err := usage.VerifyExport(file, keys)
	if errors.Is(err, io.EOF) {
		err = errors.New("the file is empty")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return c.report(body)
}

func readUsageKeys(name string) (map[string]ed25519.PublicKey, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, newUsageError(fmt.Sprintf("usage keys: %v", err))
	}
	var keys map[string]ed25519.PublicKey
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, fmt.Errorf("%s: must be a JSON object of writer and public key in base64: %w", name, err)
	}
	for writer, key := range keys {
		if len(key) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("%s: the key of writer %q has %d bytes, must have %d", name, writer, len(key), ed25519.PublicKeySize)
		}
	}
	return keys, nil
}

// report prints a verification report and returns an error if the report contains a problem.
func (c *usageVerifyCommand) report(body []byte) error {
	if err := c.print(body); err != nil {
		return err
	}
	var report struct {
		Problems []json.RawMessage `json:"problems"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return fmt.Errorf("the operator API's response is not a report: %w", err)
	}
	if len(report.Problems) > 0 {
		return fmt.Errorf("%w: first problem: %s", errInvalidUsage, report.Problems[0])
	}
	if c.JSON {
		return nil
	}
	return c.write([]byte("the usage record is valid\n"))
}

type usageExportCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *usageExportCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	body, err := c.call(operatorCall{method: http.MethodGet, path: "/usage/export", accept: typeCSV})
	if err != nil {
		return err
	}
	return c.write(body)
}

type usageKeysCommand struct{ operatorOptions }

// Execute implements flags.Commander. The output is always JSON because usage verify reads it.
func (c *usageKeysCommand) Execute(args []string) error {
	c.JSON = true
	return c.get(args, "/usage/keys", nil)
}
