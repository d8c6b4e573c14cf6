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

// Request is one call of the object API. Fields that an operation does not use are zero.
type Request struct {
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
	// WatchTimeout is the longest time that the platform may wait for writes before it responds to a watch.
	WatchTimeout time.Duration
}

// Response is a successful response of the object API.
type Response struct {
	Header http.Header
	Body   []byte
	// Era is the era of the store when it responded.
	Era uint64
}

// Codec encodes a Request as an HTTP request and decodes its Response. It is stateless and makes no retries. The Client sets the era of
// the objects.
type Codec interface {
	// EncodeRequest completes an HTTP request whose base URL is set.
	EncodeRequest(base *sling.Sling, req *Request) *sling.Sling
	// Era returns the era of the store that sent a response with the header, or 0 if it names none.
	Era(header http.Header) uint64
	// DecodeObject decodes the response to a get, create or update.
	DecodeObject(req *Request, resp *Response) (Object, error)
	// DecodeList decodes the response to a list and returns the revision at which it was read.
	DecodeList(req *Request, resp *Response) ([]Object, uint64, error)
	// DecodeWatch decodes the response to a watch and returns the revision to continue from.
	DecodeWatch(req *Request, resp *Response) ([]Object, uint64, error)
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
	// EraHeader carries the era of the store in all responses. It rises by one each time that the store comes back from an older copy:
	// what it has acknowledged since is gone, and its revisions are given out again.
	EraHeader = "Store-Era"
)

// ObjectJSON is one object in the JSON body of a list or watch response. Value is base64 in JSON.
type ObjectJSON struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ListResponse is the body of a list response: objects in name order, and the revision at which they were read.
type ListResponse struct {
	Objects  []ObjectJSON `json:"objects"`
	Revision uint64       `json:"revision"`
}

// WatchResponse is the body of a watch response: writes in revision order, and the revision to continue from.
type WatchResponse struct {
	Objects  []ObjectJSON `json:"objects"`
	Revision uint64       `json:"revision"`
}

// standinCodec is the Codec of the object API that internal/standin/store implements.
type standinCodec struct{}

type listQuery struct {
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

type watchQuery struct {
	After uint64 `url:"after"`
}

// Era implements Codec.
func (standinCodec) Era(header http.Header) uint64 { return ParseEra(header) }

// ParseEra returns the number in EraHeader, or 0 if there is none.
func ParseEra(header http.Header) uint64 {
	era, err := strconv.ParseUint(header.Get(EraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// EncodeRequest implements Codec.
func (standinCodec) EncodeRequest(base *sling.Sling, req *Request) *sling.Sling {
	switch req.Op {
	case OpGet:
		return base.Get(objectPath(req.Kind, req.Name))
	case OpCreate:
		return putValue(base, req).Set("If-None-Match", "*")
	case OpUpdate:
		return putValue(base, req).Set("If-Match", quote(req.Version))
	case OpDelete:
		return base.Delete(objectPath(req.Kind, req.Name)).Set("If-Match", quote(req.Version))
	case OpList:
		q := &listQuery{Prefix: req.Prefix, After: req.AfterName, Limit: req.Limit}
		return base.Get(strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(req.Kind)).QueryStruct(q)
	default:
		path := strings.TrimPrefix(WatchPath, "/") + url.PathEscape(req.Kind)
		return base.Get(path).QueryStruct(&watchQuery{After: req.After})
	}
}

func putValue(base *sling.Sling, req *Request) *sling.Sling {
	return base.Put(objectPath(req.Kind, req.Name)).Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(req.Value))
}

// DecodeObject implements Codec.
func (standinCodec) DecodeObject(req *Request, resp *Response) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, err
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Object{}, err
	}
	value := req.Value
	if req.Op == OpGet {
		value = resp.Body
	}
	return Object{Kind: req.Kind, Name: req.Name, Version: version, Revision: revision, Value: value}, nil
}

// DecodeList implements Codec.
func (standinCodec) DecodeList(req *Request, resp *Response) ([]Object, uint64, error) {
	var body ListResponse
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, 0, err
	}
	return decodeObjects(req.Kind, body.Objects), body.Revision, nil
}

// DecodeWatch implements Codec.
func (standinCodec) DecodeWatch(req *Request, resp *Response) ([]Object, uint64, error) {
	var body WatchResponse
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, 0, err
	}
	return decodeObjects(req.Kind, body.Objects), body.Revision, nil
}

func decodeObjects(kind string, encoded []ObjectJSON) []Object {
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
