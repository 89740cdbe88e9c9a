package engine

import (
	"context"
	"time"

	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// PieceTokens is the number of prompt tokens in one piece of the KV cache.
const PieceTokens = 2000

// Options describe an engine. Fields with a default take it when they are zero.
type Options struct {
	// ID is the engine's target id.
	ID target.ID
	// Seed is the seed of the boot ids; engines should have different seeds.
	Seed uint64
	// Role is the role at start. Default mixed.
	Role target.Role
	// Models are the models loaded at start.
	Models []string
	// ChecksFence makes the engine refuse orders with a lower fencing number than one that
	// it has received.
	ChecksFence bool
	// AnyRole makes the engine run both phases in every role. Otherwise it refuses
	// requests for a phase that its role does not run.
	AnyRole bool
	// Capacity is the maximum number of requests that run at once. Default 16.
	Capacity int
	// PrefillRate is in prompt tokens per second. Default 20,000.
	PrefillRate float64
	// DecodeRate is in output tokens per second, summed over all running requests. Default
	// 2,000.
	DecodeRate float64
	// KVPieces is the size of the prefix cache in pieces. Default 256.
	KVPieces int
	// ImportTimePerPiece is how long the import of one piece of KV cache takes. Default 1
	// ms.
	ImportTimePerPiece time.Duration
	// RoleChangeTime is how long a role change takes. Default 3 s.
	RoleChangeTime time.Duration
	// ModelChangeTime is how long a model change takes. Default 3 s.
	ModelChangeTime time.Duration
	// ChunkTokens is the number of tokens in a chunk. Default 4.
	ChunkTokens int
	// ReportLag is the age of the state that a report shows. Default 0.
	ReportLag time.Duration
	// CrashOn is as in Faults, and lasts.
	CrashOn string
	// Import fetches a KV cache that another engine exports. Default: an HTTP request to
	// that engine.
	Import func(ctx context.Context, source, handle string) (httpengine.KVExport, error)
}

// Defaults of Options.
const (
	defaultCapacity           = 16
	defaultPrefillRate        = 20000
	defaultDecodeRate         = 2000
	defaultKVPieces           = 256
	defaultImportTimePerPiece = time.Millisecond
	defaultChangeTime         = 3 * time.Second
	defaultChunkTokens        = 4
)

// orDefault returns value, or fallback when value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// withDefaults returns a copy of the options with the defaults filled in.
func (o Options) withDefaults() Options {
	o.Role = orDefault(o.Role, target.Mixed)
	o.Capacity = orDefault(o.Capacity, defaultCapacity)
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.DecodeRate = orDefault(o.DecodeRate, defaultDecodeRate)
	o.KVPieces = orDefault(o.KVPieces, defaultKVPieces)
	o.ImportTimePerPiece = orDefault(o.ImportTimePerPiece, defaultImportTimePerPiece)
	o.RoleChangeTime = orDefault(o.RoleChangeTime, defaultChangeTime)
	o.ModelChangeTime = orDefault(o.ModelChangeTime, defaultChangeTime)
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
