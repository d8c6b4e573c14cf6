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

// Call is one call of the object API. Fields that an operation does not use are zero.
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
	// Wait is how long the platform may hold a watch.
	Wait time.Duration
}

// Answer is a successful answer of the object API.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Form translates calls to HTTP requests and reads the answers. It holds no state and decides nothing.
type Form interface {
	// Request completes a request whose base URL is set.
	Request(base *sling.Sling, c *Call) *sling.Sling
	// Object reads the answer to a get, create or update.
	Object(c *Call, a *Answer) (Object, error)
	// List reads the answer to a list.
	List(c *Call, a *Answer) ([]Object, error)
	// Watch reads the answer to a watch, with the revision to continue from.
	Watch(c *Call, a *Answer) ([]Object, uint64, error)
}

// Paths and headers of the object API's HTTP form.
//
// A GET of one object answers 200 with the raw value as body, its version in ETag (in quotes) and its revision in
// RevisionHeader. A PUT sends the raw value with If-None-Match: * (create) or If-Match: "VERSION" (update) and answers
// 200 or 201 with the same two headers and no body. A DELETE sends If-Match and answers 204.
//
// Statuses: 404 not found; 409 or 412 condition failed; 410 a watch's revision is no longer kept; 413 value too large;
// 429 refused by the rate limit, with Retry-After; 503 not applied. Every other 5xx, and a connection that breaks after
// the request was sent, leave it open whether a write was applied.
const (
	// ObjectsPath is followed by KIND for a list or KIND/NAME for one object.
	ObjectsPath = "/objects/"
	// WatchPath is followed by KIND.
	WatchPath = "/watch/"
	// RevisionHeader carries the revision of the returned object version.
	RevisionHeader = "Store-Revision"
)

// ObjectForm is one object in the JSON body of a list or watch. Value is base64 in JSON.
type ObjectForm struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ListForm is the body of a list: objects in name order.
type ListForm struct {
	Objects []ObjectForm `json:"objects"`
}

// WatchForm is the body of a watch: writes in revision order, and the revision to continue from.
type WatchForm struct {
	Objects  []ObjectForm `json:"objects"`
	Revision uint64       `json:"revision"`
}

// ownForm is the form of this project's stand-in.
type ownForm struct{}

type listQuery struct {
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

type watchQuery struct {
	After uint64 `url:"after"`
}

// Request implements Form.
func (ownForm) Request(base *sling.Sling, c *Call) *sling.Sling {
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
func (ownForm) Object(c *Call, a *Answer) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(a.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, err
	}
	revision, err := strconv.ParseUint(a.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Object{}, err
	}
	value := c.Value
	if c.Op == OpGet {
		value = a.Body
	}
	return Object{Kind: c.Kind, Name: c.Name, Version: version, Revision: revision, Value: value}, nil
}

// List implements Form.
func (ownForm) List(c *Call, a *Answer) ([]Object, error) {
	var form ListForm
	if err := json.Unmarshal(a.Body, &form); err != nil {
		return nil, err
	}
	return objects(c.Kind, form.Objects), nil
}

// Watch implements Form.
func (ownForm) Watch(c *Call, a *Answer) ([]Object, uint64, error) {
	var form WatchForm
	if err := json.Unmarshal(a.Body, &form); err != nil {
		return nil, 0, err
	}
	return objects(c.Kind, form.Objects), form.Revision, nil
}

func objects(kind string, forms []ObjectForm) []Object {
	objs := make([]Object, 0, len(forms))
	for _, f := range forms {
		objs = append(objs, Object{Kind: kind, Name: f.Name, Version: f.Version, Revision: f.Revision, Value: f.Value, Deleted: f.Deleted})
	}
	return objs
}

// objectPath keeps the slashes of the name and escapes everything else.
func objectPath(kind, name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(kind) + "/" + strings.Join(parts, "/")
}

func quote(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
