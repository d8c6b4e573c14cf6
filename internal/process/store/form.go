package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
)

// Call is one request to the object API. Fields that an operation does not use are zero.
type Call struct {
	Op   Op
	Kind string
	Name string
	// Version is the condition of an update or deletion.
	Version uint64
	Value   []byte
	// Prefix, AfterName and Limit select the objects of a list.
	Prefix    string
	AfterName string
	Limit     int
	// After is the revision after which a watch begins.
	After uint64
	// Wait is the longest time that the platform may wait for writes before it responds to a watch.
	Wait time.Duration
}

// Answer is a successful response of the object API.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Form encodes calls as HTTP requests and decodes the responses. It is stateless and makes no retries.
type Form interface {
	// Request encodes a call as an HTTP request, given a sling with the base URL.
	Request(base *sling.Sling, c *Call) *sling.Sling
	// Object decodes the response to a get, create or update.
	Object(c *Call, resp *Answer) (Object, error)
	// List decodes the response to a list.
	List(c *Call, resp *Answer) ([]Object, error)
	// Watch decodes the response to a watch and returns the revision to continue from.
	Watch(c *Call, resp *Answer) ([]Object, uint64, error)
}

// Paths and headers of the object API over HTTP.
//
// A GET of one object returns 200 with the raw value as body, its version in ETag (in quotes) and its revision in
// RevisionHeader. A PUT sends the raw value with If-None-Match: * (create) or If-Match: "VERSION" (update) and returns
// 200 or 201 with the same two headers and no body. A DELETE sends If-Match and returns 204.
//
// Statuses: 404 not found; 409 or 412 condition failed; 410 the history after a watch's revision is no longer available;
// 413 value too large; 429 refused by the rate limit, with Retry-After; 503 not applied. After any other 5xx, or a
// connection that breaks after the request was sent, it is unknown whether a write was applied.
const (
	// ObjectsPath is followed by KIND for a list or KIND/NAME for one object.
	ObjectsPath = "/objects/"
	// WatchPath is followed by KIND.
	WatchPath = "/watch/"
	// RevisionHeader carries the revision of the returned object version.
	RevisionHeader = "Store-Revision"
)

// ObjectForm is one object in the JSON body of a list or watch response. Value is base64 in JSON.
type ObjectForm struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ListForm is the body of a list response: objects in name order.
type ListForm struct {
	Objects []ObjectForm `json:"objects"`
}

// WatchForm is the body of a watch response: writes in revision order, and the revision to continue from.
type WatchForm struct {
	Objects  []ObjectForm `json:"objects"`
	Revision uint64       `json:"revision"`
}

// standinCodec is the Form of the object API that internal/standin/store implements.
type standinCodec struct{}

type listQuery struct {
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

type watchQuery struct {
	After uint64 `url:"after"`
}

// Request implements Form.
func (standinCodec) Request(base *sling.Sling, c *Call) *sling.Sling {
	switch c.Op {
	case OpGet:
		return base.Get(objectPath(c.Kind, c.Name))
	case OpCreate:
		return putValue(base, c).Set("If-None-Match", "*")
	case OpUpdate:
		return putValue(base, c).Set("If-Match", quote(c.Version))
	case OpDelete:
		return base.Delete(objectPath(c.Kind, c.Name)).Set("If-Match", quote(c.Version))
	case OpList:
		q := &listQuery{Prefix: c.Prefix, After: c.AfterName, Limit: c.Limit}
		return base.Get(strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(c.Kind)).QueryStruct(q)
	default:
		path := strings.TrimPrefix(WatchPath, "/") + url.PathEscape(c.Kind)
		return base.Get(path).QueryStruct(&watchQuery{After: c.After})
	}
}

func putValue(base *sling.Sling, c *Call) *sling.Sling {
	return base.Put(objectPath(c.Kind, c.Name)).Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(c.Value))
}

// Object implements Form.
func (standinCodec) Object(c *Call, resp *Answer) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, err
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Object{}, err
	}
	value := c.Value
	if c.Op == OpGet {
		value = resp.Body
	}
	return Object{Kind: c.Kind, Name: c.Name, Version: version, Revision: revision, Value: value}, nil
}

// List implements Form.
func (standinCodec) List(c *Call, resp *Answer) ([]Object, error) {
	var body ListForm
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, err
	}
	return decodeObjects(c.Kind, body.Objects), nil
}

// Watch implements Form.
func (standinCodec) Watch(c *Call, resp *Answer) ([]Object, uint64, error) {
	var body WatchForm
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, 0, err
	}
	return decodeObjects(c.Kind, body.Objects), body.Revision, nil
}

func decodeObjects(kind string, encoded []ObjectForm) []Object {
	objs := make([]Object, 0, len(encoded))
	for _, o := range encoded {
		objs = append(objs, Object{Kind: kind, Name: o.Name, Version: o.Version, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted})
	}
	return objs
}

// objectPath returns the path of an object, with every segment of the name escaped.
func objectPath(kind, name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(kind) + "/" + strings.Join(segments, "/")
}

func quote(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
