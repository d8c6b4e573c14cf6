package store

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
