package cli

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dghubble/sling"
)

const (
	operatorTimeout = 60 * time.Second
	// maxOperatorResponseBytes is the maximum size of a response; the usage export is the largest.
	maxOperatorResponseBytes = 256 << 20

	typeCSV  = "text/csv"
	typeJSON = "application/json"
)

// operatorOptions are the options of every command that calls the operator API.
type operatorOptions struct {
	env    environment
	Server string `long:"server" value-name:"URL" env:"DRAGONFLYPIN_SERVER" description:"base URL of an entry's operator API"`
	Key    string `long:"key" value-name:"KEY" env:"DRAGONFLYPIN_KEY" default-mask:"-" description:"operator key"`
	JSON   bool   `long:"json" description:"print the response as JSON"`
}

// operatorCall is one request to the operator API.
type operatorCall struct {
	method, path, accept, contentType string
	query                             url.Values
	body                              []byte
}

// apiError is a response whose status is not a success.
type apiError struct {
	status int
	body   []byte
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// code returns the error's code, or an empty string.
func (e *apiError) code() string {
	var parsed errorBody
	_ = json.Unmarshal(e.body, &parsed)
	return parsed.Error.Code
}

// Error implements error. The first line is the message; other fields of the response, such as conflicts, follow.
func (e *apiError) Error() string {
	var parsed errorBody
	if json.Unmarshal(e.body, &parsed) != nil || parsed.Error.Message == "" {
		return fmt.Sprintf("the operator API returned status %d: %s", e.status, strings.TrimSpace(string(e.body)))
	}
	text := parsed.Error.Message
	if parsed.Error.Code != "" {
		text = parsed.Error.Code + ": " + text
	}
	if more := renderExcept(e.body, "error"); more != "" {
		text += "\n" + strings.TrimRight(more, "\n")
	}
	return text
}

func (o *operatorOptions) call(c operatorCall) ([]byte, error) {
	base, err := url.Parse(o.Server)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, newUsageError(fmt.Sprintf("--server %q must be the URL of an operator API, such as http://127.0.0.1:8081", o.Server))
	}
	if o.Key == "" {
		return nil, newUsageError("--key or DRAGONFLYPIN_KEY must hold an operator key")
	}
	if c.accept == "" {
		c.accept = typeJSON
	}
	s := sling.New().Base(strings.TrimRight(o.Server, "/")+"/").Path(strings.TrimLeft(c.path, "/")).
		Set("Authorization", "Bearer "+o.Key).Set("Accept", c.accept)
	if c.body != nil {
		s = s.Body(bytes.NewReader(c.body)).Set("Content-Type", c.contentType)
	}
	r, err := s.Request()
	if err != nil {
		return nil, err
	}
	r.Method = c.method
	r.URL.RawQuery = c.query.Encode()
	return do(r.WithContext(o.env.ctx))
}

func do(r *http.Request) ([]byte, error) {
	client := &http.Client{Timeout: operatorTimeout}
	resp, err := client.Do(r)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return nil, fmt.Errorf("call the operator API at %s://%s: %w", r.URL.Scheme, r.URL.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBounded(resp.Body, maxOperatorResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("read the operator API's response: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &apiError{status: resp.StatusCode, body: body}
	}
	return body, nil
}

// readBounded reads all of r. It returns an error above limit bytes, because a truncated usage export would look like a
// record with gaps.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("it exceeds %d bytes", limit)
	}
	return body, err
}

// get requests a path and prints the response, as text unless --json is set.
func (o *operatorOptions) get(args []string, path string, query url.Values) error {
	if err := noArguments(args); err != nil {
		return err
	}
	body, err := o.call(operatorCall{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	return o.print(body)
}

func (o *operatorOptions) print(body []byte) error {
	text := render(body)
	if o.JSON {
		var indented bytes.Buffer
		if err := json.Indent(&indented, bytes.TrimSpace(body), "", "  "); err != nil {
			return fmt.Errorf("the operator API's response is not JSON: %w", err)
		}
		text = indented.String() + "\n"
	}
	return o.write([]byte(text))
}

func (o *operatorOptions) write(data []byte) error {
	_, err := o.env.out.Write(data)
	return err
}

type tableGetCommand struct {
	operatorOptions
	Format string `long:"format" choice:"csv" choice:"json" default:"csv" description:"output format"`
}

// Execute implements flags.Commander.
func (c *tableGetCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	asJSON := c.JSON || c.Format == "json"
	call := operatorCall{method: http.MethodGet, path: "/table", accept: typeCSV, query: url.Values{"format": {"csv"}}}
	if asJSON {
		call.accept, call.query = typeJSON, url.Values{"format": {"json"}}
	}
	body, err := c.call(call)
	if err != nil {
		return err
	}
	if asJSON {
		c.JSON = true
		return c.print(body)
	}
	return c.write(body)
}

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"table file, CSV or JSON"`
}

// tableCall returns the request that posts a table file.
func tableCall(path, file string, query url.Values) (operatorCall, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return operatorCall{}, newUsageError(fmt.Sprintf("table file: %v", err))
	}
	contentType := typeCSV
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		contentType = typeJSON
	}
	return operatorCall{method: http.MethodPost, path: path, query: query, body: body, contentType: contentType}, nil
}

type tableCheckCommand struct {
	operatorOptions
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableCheckCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	call, err := tableCall("/table/check", c.Args.File, nil)
	if err != nil {
		return err
	}
	body, err := c.call(call)
	if err != nil {
		return err
	}
	return c.print(body)
}

type tableApplyCommand struct {
	operatorOptions
	Base   uint64       `long:"base" value-name:"VERSION" required:"yes" description:"number of the version that the file is based on"`
	Reason string       `long:"reason" value-name:"TEXT" description:"reason for the change, recorded in the history"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

const (
	// applyAttempts is the maximum number of times that an edit is sent while its outcome is unknown. The edit ID makes the
	// edit idempotent: for an edit that was already accepted, the response contains its version.
	applyAttempts   = 4
	applyRetryDelay = 500 * time.Millisecond
)

// Execute implements flags.Commander.
func (c *tableApplyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	call, err := tableCall("/table/apply", c.Args.File, url.Values{
		"base": {strconv.FormatUint(c.Base, 10)}, "reason": {c.Reason}, "edit": {rand.Text()},
	})
	if err != nil {
		return err
	}
	body, err := c.call(call)
	for attempt := 1; attempt < applyAttempts && outcomeUnknown(err); attempt++ {
		select {
		case <-c.env.ctx.Done():
			return err
		case <-time.After(applyRetryDelay):
		}
		body, err = c.call(call)
	}
	if outcomeUnknown(err) {
		return fmt.Errorf("%w; it is not known whether the edit was accepted: see table history", err)
	}
	if err != nil {
		return err
	}
	return c.print(body)
}

// outcomeUnknown reports whether an edit may have been accepted although it returned an error.
func outcomeUnknown(err error) bool {
	var api *apiError
	if errors.As(err, &api) {
		return api.code() == "outcome_unknown"
	}
	_, usage := usageMessage(err)
	return err != nil && !usage && !errors.Is(err, syscall.ECONNREFUSED)
}

type tableHistoryCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *tableHistoryCommand) Execute(args []string) error { return c.get(args, "/table/history", nil) }

type tableDiffCommand struct {
	operatorOptions
	Args struct {
		A uint64 `positional-arg-name:"A" description:"number of the earlier version"`
		B uint64 `positional-arg-name:"B" description:"number of the later version"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableDiffCommand) Execute(args []string) error {
	return c.get(args, "/table/diff", url.Values{
		"a": {strconv.FormatUint(c.Args.A, 10)}, "b": {strconv.FormatUint(c.Args.B, 10)},
	})
}

type usageShowCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *usageShowCommand) Execute(args []string) error { return c.get(args, "/usage", nil) }

type statusCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error { return c.get(args, "/status", nil) }

type explainCommand struct {
	operatorOptions
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID" description:"value of the header Dragonflypin-Request-Id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	return c.get(args, "/explain/"+url.PathEscape(c.Args.RequestID), nil)
}

type quarantineListCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *quarantineListCommand) Execute(args []string) error { return c.get(args, "/quarantine", nil) }

type quarantineLiftCommand struct {
	operatorOptions
	Args struct {
		Part string `positional-arg-name:"PART" description:"ID of the prompt part"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineLiftCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	body, err := c.call(operatorCall{method: http.MethodDelete, path: "/quarantine/" + url.PathEscape(c.Args.Part)})
	if err != nil {
		return err
	}
	return c.print(body)
}
