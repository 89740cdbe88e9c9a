package httpstore

import "zinniapin/store"

// Path is the path of the object API, relative to its base URL. The query selects the
// objects: "key" for one, "prefix" for a list, "key" and "after" for a watch.
const Path = "/objects"

// PurposeHeader is the header with the store.Purpose of a call, as a decimal number.
const PurposeHeader = "Zinnia-Purpose"

// MaxListBytes bounds the response to a list, in bytes.
const MaxListBytes = 256 << 20

// Object is an element of the response to a list.
type Object struct {
	Key     string        `json:"key"`
	Version store.Version `json:"version"`
	Value   []byte        `json:"value"`
}

// Refusal is the body of a response with status 503 that refuses a call.
type Refusal struct {
	// Refused is set if the object API states that the call had no effect.
	Refused bool `json:"refused"`
}
