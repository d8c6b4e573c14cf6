package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Struct tags of a settings field, besides json:
//
//	default:"16"    value of an absent field; a field with neither this tag nor optional is required, except a struct
//	                whose fields all have this tag
//	min:"1"         smallest value of a number or duration
//	max:"4096"      largest value of a number or duration
//	unit:"bytes"    unit of a number, for error messages and help
//	oneof:"a,b"     the values allowed for a string
//	format:"url"    "name", "hostport", "url" or "file"
//	optional:"true" an absent field keeps its zero value
const (
	tagDefault  = "default"
	tagMin      = "min"
	tagMax      = "max"
	tagUnit     = "unit"
	tagOneOf    = "oneof"
	tagFormat   = "format"
	tagOptional = "optional"
)

// Formats of strings.
const (
	formatName     = "name"
	formatHostPort = "hostport"
	formatURL      = "url"
	formatFile     = "file"
)

// maxShownBytes is the length at which an error message truncates the value.
const maxShownBytes = 80

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Error reports a setting that is unknown, missing or invalid.
type Error struct {
	// File is the name of the settings file.
	File string
	// Path is the field's path, for example limits.body_bytes; it is empty when the file as a whole is invalid.
	Path string
	// Value is the JSON text of the value, or empty when the field is missing.
	Value string
	// Problem says what is invalid and what is allowed.
	Problem string
}

// Error implements error. The text has no line breaks.
func (e *Error) Error() string {
	text := "settings"
	if e.File != "" {
		text += " " + e.File
	}
	if e.Path != "" {
		text += ": " + e.Path
	}
	if e.Value != "" {
		text += " is " + displayValue(e.Value)
	}
	return text + ": " + e.Problem
}

func displayValue(value string) string {
	value = strings.Join(strings.Fields(value), " ")
	if len(value) > maxShownBytes {
		return value[:maxShownBytes] + "..."
	}
	return value
}

// checker is implemented by settings types whose fields depend on each other.
type checker interface{ check() *Error }

// Load reads a settings file into T, fills absent fields with their defaults and checks every value.
// Every error is a *Error.
func Load[T any](file string) (T, error) {
	var zero T
	f, err := os.Open(file)
	if err != nil {
		return zero, &Error{File: file, Problem: "cannot be read: " + reason(err)}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(f)
	if err != nil {
		return zero, &Error{File: file, Problem: "cannot be read: " + reason(err)}
	}
	value, problem := parse[T](data)
	if problem != nil {
		problem.File = file
		return zero, problem
	}
	return value, nil
}

func reason(err error) string {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err.Error()
	}
	return err.Error()
}

// Parse is like Load, for JSON text in memory.
func Parse[T any](data []byte) (T, error) {
	value, problem := parse[T](data)
	if problem != nil {
		return value, problem
	}
	return value, nil
}

func parse[T any](data []byte) (T, *Error) {
	var value, zero T
	if !json.Valid(data) {
		return zero, &Error{Problem: "not valid JSON: " + syntaxError(data)}
	}
	if problem := decodeStruct(reflect.ValueOf(&value).Elem(), "", data); problem != nil {
		return zero, problem
	}
	if c, ok := any(&value).(checker); ok {
		if problem := c.check(); problem != nil {
			return zero, problem
		}
	}
	return value, nil
}

func syntaxError(data []byte) string {
	var v any
	err := json.Unmarshal(data, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + strings.Count(string(data[:min(int(syntax.Offset), len(data))]), "\n")
		return fmt.Sprintf("line %d: %v", line, err)
	}
	return fmt.Sprint(err)
}

// ApplyDefaults sets zero fields to their defaults, for settings that are built in code.
func ApplyDefaults[T any](value *T) {
	v := reflect.ValueOf(value).Elem()
	applyDefaults(v)
}

func applyDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch text, ok := field.Tag.Lookup(tagDefault); {
		case field.Type.Kind() == reflect.Struct:
			applyDefaults(v.Field(i))
		case ok && v.Field(i).IsZero():
			if problem := decodeValue(v.Field(i), field, field.Name, defaultJSON(field, text)); problem != nil {
				panic(problem) // the tags are constant
			}
		}
	}
}

// defaultJSON returns the value of a default tag as JSON text; the tag separates list elements by commas.
func defaultJSON(field reflect.StructField, text string) []byte {
	switch {
	case field.Type == reflect.TypeFor[Duration](), field.Type.Kind() == reflect.String:
		return []byte(strconv.Quote(text))
	case field.Type.Kind() == reflect.Slice:
		list, err := json.Marshal(strings.Split(text, ","))
		if err != nil {
			panic(err) // strings always marshal
		}
		return list
	default:
		return []byte(text)
	}
}

func decodeStruct(v reflect.Value, path string, data []byte) *Error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		return &Error{Path: path, Value: string(data), Problem: "must be an object"}
	}
	if problem := unknownField(v.Type(), path, fields); problem != nil {
		return problem
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := jsonName(field)
		raw, ok := fields[name]
		if !ok {
			var problem *Error
			if raw, problem = absentValue(field, join(path, name)); problem != nil {
				return problem
			}
			if raw == nil {
				continue
			}
		}
		if problem := decodeValue(v.Field(i), field, join(path, name), raw); problem != nil {
			return problem
		}
	}
	return nil
}

// absentValue returns the JSON text of a field that is not in the file, or nil when the field keeps its zero value.
func absentValue(field reflect.StructField, path string) (json.RawMessage, *Error) {
	if text, ok := field.Tag.Lookup(tagDefault); ok {
		return defaultJSON(field, text), nil
	}
	if field.Tag.Get(tagOptional) == "true" {
		return nil, nil
	}
	if field.Type.Kind() == reflect.Struct && allDefaults(field.Type) {
		return json.RawMessage("{}"), nil
	}
	return nil, &Error{Path: path, Problem: "is missing; it must be " + Allowed(field)}
}

func allDefaults(t reflect.Type) bool {
	for i := range t.NumField() {
		if _, ok := t.Field(i).Tag.Lookup(tagDefault); !ok {
			return false
		}
	}
	return true
}

func unknownField(t reflect.Type, path string, fields map[string]json.RawMessage) *Error {
	var known []string
	for i := range t.NumField() {
		known = append(known, jsonName(t.Field(i)))
	}
	var unknown []string
	for name := range fields {
		if !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return &Error{
		Path: join(path, unknown[0]), Value: string(fields[unknown[0]]),
		Problem: "is an unknown field; allowed here are " + strings.Join(known, ", "),
	}
}

func decodeValue(v reflect.Value, field reflect.StructField, path string, raw []byte) *Error {
	if v.Kind() == reflect.Struct {
		return decodeStruct(v, path, raw)
	}
	if isStructList(field.Type) {
		return decodeList(v, path, raw)
	}
	if string(raw) == "null" || json.Unmarshal(raw, v.Addr().Interface()) != nil || !isAllowed(v, field) {
		return &Error{Path: path, Value: string(raw), Problem: "must be " + Allowed(field)}
	}
	return nil
}

func isStructList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

func decodeList(v reflect.Value, path string, raw []byte) *Error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil || items == nil {
		return &Error{Path: path, Value: string(raw), Problem: "must be a list of objects"}
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		if problem := decodeStruct(v.Index(i), fmt.Sprintf("%s[%d]", path, i), item); problem != nil {
			return problem
		}
	}
	return nil
}

func isAllowed(v reflect.Value, field reflect.StructField) bool {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		low, high := bounds(field)
		return float64(v.Int()) >= low && float64(v.Int()) <= high
	case reflect.Float64:
		low, high := bounds(field)
		return v.Float() >= low && v.Float() <= high
	case reflect.String:
		return isAllowedString(v.String(), field)
	case reflect.Slice:
		for i := range v.Len() {
			if v.Index(i).String() == "" {
				return false
			}
		}
	}
	return true
}

func isAllowedString(text string, field reflect.StructField) bool {
	if set, ok := field.Tag.Lookup(tagOneOf); ok {
		return slices.Contains(strings.Split(set, ","), text)
	}
	switch field.Tag.Get(tagFormat) {
	case formatName:
		return namePattern.MatchString(text)
	case formatHostPort:
		host, port, err := net.SplitHostPort(text)
		n, portErr := strconv.ParseUint(port, 10, 16)
		return err == nil && host != "" && portErr == nil && n <= math.MaxUint16
	case formatURL:
		u, err := url.Parse(text)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	default:
		return text != ""
	}
}

// bounds returns the smallest and the largest allowed value; durations are in nanoseconds.
func bounds(field reflect.StructField) (float64, float64) {
	return bound(field, tagMin, math.Inf(-1)), bound(field, tagMax, math.Inf(1))
}

func bound(field reflect.StructField, tag string, unbounded float64) float64 {
	text, ok := field.Tag.Lookup(tag)
	if !ok {
		return unbounded
	}
	if field.Type == reflect.TypeFor[Duration]() {
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(err) // the tags are constant
		}
		return float64(d)
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // the tags are constant
	}
	return n
}

// Allowed describes the allowed values of a field.
func Allowed(field reflect.StructField) string {
	switch {
	case field.Type == reflect.TypeFor[Duration]():
		return "a duration with a unit, such as \"250ms\" or \"10m\"" + allowedRange(field)
	case field.Type.Kind() == reflect.Struct:
		return "an object"
	case field.Type.Kind() == reflect.Int:
		return "a whole number" + allowedUnit(field) + allowedRange(field)
	case field.Type.Kind() == reflect.Float64:
		return "a number" + allowedUnit(field) + allowedRange(field)
	case field.Type.Kind() == reflect.Bool:
		return "true or false"
	case isStructList(field.Type):
		return "a list of objects"
	case field.Type.Kind() == reflect.Slice:
		return "a list of strings that are not empty"
	default:
		return allowedString(field)
	}
}

func allowedString(field reflect.StructField) string {
	if set, ok := field.Tag.Lookup(tagOneOf); ok {
		return "one of \"" + strings.ReplaceAll(set, ",", "\", \"") + "\""
	}
	switch field.Tag.Get(tagFormat) {
	case formatName:
		return "a name of lower-case letters, digits, dots, hyphens and underscores, at most 63 long"
	case formatHostPort:
		return "HOST:PORT, such as \"127.0.0.1:8080\""
	case formatURL:
		return "an http or https URL, such as \"http://127.0.0.1:9000\""
	case formatFile:
		return "the name of a file"
	default:
		return "a string that is not empty"
	}
}

func allowedUnit(field reflect.StructField) string {
	if unit := field.Tag.Get(tagUnit); unit != "" {
		return " of " + unit
	}
	return ""
}

func allowedRange(field reflect.StructField) string {
	low, high := field.Tag.Get(tagMin), field.Tag.Get(tagMax)
	switch {
	case low != "" && high != "":
		return ", from " + low + " to " + high
	case low != "":
		return ", at least " + low
	case high != "":
		return ", at most " + high
	default:
		return ""
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
