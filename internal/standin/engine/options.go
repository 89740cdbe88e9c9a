package engine

import (
	"context"
	"time"

	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// PieceTokens is the number of tokens of one piece of KV cache.
const PieceTokens = 2000

// Options describe an engine. Zero values take the defaults.
type Options struct {
	// ID is the engine's target id.
	ID target.ID
	// Seed makes boot ids; two engines should have different ones.
	Seed uint64
	// Role is the role at start. Default mixed.
	Role target.Role
	// Models are the models loaded at start.
	Models []string
	// ChecksFence makes the engine refuse an old fencing number.
	ChecksFence bool
	// AnyRole lets the engine run every phase in every role; otherwise it
	// refuses unrun what its role does not do.
	AnyRole bool
	// Capacity is the number of requests run at once. Default 16.
	Capacity int
	// PrefillRate is in prompt tokens a second. Default 20,000.
	PrefillRate float64
	// DecodeRate is in output tokens a second over the whole batch. Default
	// 2,000.
	DecodeRate float64
	// KVPieces is the size of the KV cache in pieces. Default 256.
	KVPieces int
	// ImportTimePerPiece is how long the import of one KV piece takes. Default 1 ms.
	ImportTimePerPiece time.Duration
	// RoleChangeTime is how long a role change takes. Default 3 s.
	RoleChangeTime time.Duration
	// ModelChangeTime is how long a model change takes. Default 3 s.
	ModelChangeTime time.Duration
	// ChunkTokens is the number of tokens of a chunk. Default 4.
	ChunkTokens int
	// ReportLag is the age of the state that a report shows. Default 0.
	ReportLag time.Duration
	// Import reads a KV cache that another engine exports. Default: over
	// HTTP.
	Import func(ctx context.Context, source, handle string) (httpengine.KVExport, error)
}

// Defaults of Options.
const (
	defaultCapacity    = 16
	defaultPrefillRate = 20000
	defaultDecodeRate  = 2000
	defaultKVPieces    = 256
	defaultImportPiece = time.Millisecond
	defaultChange      = 3 * time.Second
	defaultChunkTokens = 4
)

// orDefault returns value, or fallback when value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	o.Role = orDefault(o.Role, target.Mixed)
	o.Capacity = orDefault(o.Capacity, defaultCapacity)
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.DecodeRate = orDefault(o.DecodeRate, defaultDecodeRate)
	o.KVPieces = orDefault(o.KVPieces, defaultKVPieces)
	o.ImportTimePerPiece = orDefault(o.ImportTimePerPiece, defaultImportPiece)
	o.RoleChangeTime = orDefault(o.RoleChangeTime, defaultChange)
	o.ModelChangeTime = orDefault(o.ModelChangeTime, defaultChange)
	o.ChunkTokens = orDefault(o.ChunkTokens, defaultChunkTokens)
	if o.Import == nil {
		o.Import = func(ctx context.Context, source, handle string) (httpengine.KVExport, error) {
			client := httpengine.New(httpengine.Options{})
			defer client.Close()
			return client.FetchKV(ctx, source, handle)
		}
	}
	return o
}
