package httpstore

import "zinniapin/store"

// Path is the path of the object API below its base URL. The query names the
// object: "key" for one, "prefix" for a list, "after" with a key for a watch.
const Path = "/objects"

// PurposeHeader carries the purpose of a call, as a decimal number.
const PurposeHeader = "Zinnia-Purpose"

// MaxListBytes bounds the answer to a list, in bytes.
const MaxListBytes = 256 << 20

// Object is an element of the answer to a list.
type Object struct {
	Key     string        `json:"key"`
	Version store.Version `json:"version"`
	Value   []byte        `json:"value"`
}

// Refusal is the body of a status 503 that refuses a call.
type Refusal struct {
	// Refused is the object API's word that nothing took effect.
	Refused bool `json:"refused"`
}
