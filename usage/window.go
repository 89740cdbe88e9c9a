package usage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"zinniapin/provider"
)

// Prefix is the key prefix of all usage objects in the object API.
const Prefix = "usage/"

// DefaultShards is the default number of shards that organisations are spread over.
const DefaultShards = 64

// ShardOf returns the shard of an organisation, 0 to shards-1.
func ShardOf(organisation string, shards int) int {
	return int(xxhash.Sum64String(organisation) % uint64(shards))
}

// windowKey returns the object key of a shard's window.
func windowKey(shard int, start time.Time) string {
	return fmt.Sprintf("%s%03d/%d", Prefix, shard, start.Unix())
}

// counterID identifies a grow-only counter.
type counterID struct {
	gateway      string
	organisation string
	origin       int64 // start of the window in which the usage occurred, Unix seconds
}

// counterIDOf returns the ID of a counter.
func counterIDOf(c Counter) counterID {
	return counterID{c.Gateway, c.Organisation, c.Window.Unix()}
}

// entry is a counter within a window object.
type entry struct {
	amount Amount
	// base is the part of amount that earlier, frozen windows hold. It is zero
	// unless the usage was stored late.
	base Amount
}

// window is the stored object of one shard and window of time.
type window struct {
	start   int64 // Unix seconds
	frozen  bool
	entries map[counterID]entry
}

// newWindow returns an open window without entries.
func newWindow(start int64) *window {
	return &window{start: start, entries: map[counterID]entry{}}
}

// merge merges a counter by maximum and reports whether that changed the window.
func (w *window) merge(id counterID, a, base Amount) bool {
	old, known := w.entries[id]
	merged := entry{amount: old.amount.Max(a), base: old.base.Max(base)}
	if known && merged == old {
		return false
	}
	w.entries[id] = merged
	return true
}

// subtract returns a less b, field by field and never below zero.
func (a Amount) subtract(b Amount) Amount {
	return Amount{
		Requests:     a.Requests - min(a.Requests, b.Requests),
		PromptTokens: a.PromptTokens - min(a.PromptTokens, b.PromptTokens),
		OutputTokens: a.OutputTokens - min(a.OutputTokens, b.OutputTokens),
		Calls:        a.Calls - min(a.Calls, b.Calls),
	}
}

// usageReports returns one report per organisation, ordered by organisation.
func (w *window) usageReports(length time.Duration) []provider.UsageReport {
	byOrganisation := map[string]*provider.UsageReport{}
	for id, e := range w.entries {
		report := byOrganisation[id.organisation]
		if report == nil {
			report = &provider.UsageReport{
				Organisation: id.organisation,
				Window:       time.Unix(w.start, 0).UTC(),
				Length:       length,
			}
			byOrganisation[id.organisation] = report
		}
		used := e.amount.subtract(e.base)
		report.Requests += used.Requests
		report.PromptTokens += used.PromptTokens
		report.OutputTokens += used.OutputTokens
		report.Calls += used.Calls
		if id.origin != w.start {
			report.Late += used.Requests + used.Calls
		}
	}
	reports := make([]provider.UsageReport, 0, len(byOrganisation))
	for _, report := range byOrganisation {
		reports = append(reports, *report)
	}
	slices.SortFunc(reports, func(a, b provider.UsageReport) int {
		return strings.Compare(a.Organisation, b.Organisation)
	})
	return reports
}

// errFormat means that a stored window cannot be decoded.
var errFormat = errors.New("usage: damaged window object")

// formatVersion is the first byte of a stored window.
const formatVersion = 1

// encode returns the window as stored: a header, the list of gateways, the list of
// organisations, and the entries as variable-length integers, with indices into both
// lists.
func (w *window) encode() []byte {
	ids := make([]counterID, 0, len(w.entries))
	for id := range w.entries {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].less(ids[j]) })
	gateways := newNameTable(ids, func(id counterID) string { return id.gateway })
	organisations := newNameTable(ids, func(id counterID) string { return id.organisation })
	b := []byte{formatVersion, 0}
	if w.frozen {
		b[1] = 1
	}
	b = binary.AppendVarint(b, w.start)
	b = gateways.append(b)
	b = organisations.append(b)
	b = binary.AppendUvarint(b, uint64(len(ids)))
	for _, id := range ids {
		e := w.entries[id]
		b = binary.AppendUvarint(b, gateways.index[id.gateway])
		b = binary.AppendUvarint(b, organisations.index[id.organisation])
		b = binary.AppendVarint(b, w.start-id.origin)
		b = appendAmount(b, e.amount)
		if id.origin != w.start {
			b = appendAmount(b, e.base)
		}
	}
	return b
}

// less reports whether a counter sorts before another: by gateway, organisation and
// origin.
func (id counterID) less(other counterID) bool {
	if id.gateway != other.gateway {
		return id.gateway < other.gateway
	}
	if id.organisation != other.organisation {
		return id.organisation < other.organisation
	}
	return id.origin < other.origin
}

// appendAmount appends the four fields of an amount.
func appendAmount(b []byte, a Amount) []byte {
	for _, n := range []uint64{a.Requests, a.PromptTokens, a.OutputTokens, a.Calls} {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// nameTable is a list of distinct names with their indices.
type nameTable struct {
	list  []string
	index map[string]uint64
}

// newNameTable returns the table of the names that nameOf returns for the counters.
func newNameTable(ids []counterID, nameOf func(counterID) string) nameTable {
	n := nameTable{index: map[string]uint64{}}
	for _, id := range ids {
		name := nameOf(id)
		if _, known := n.index[name]; !known {
			n.index[name] = uint64(len(n.list))
			n.list = append(n.list, name)
		}
	}
	return n
}

// append appends the encoded list.
func (n nameTable) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(n.list)))
	for _, name := range n.list {
		b = binary.AppendUvarint(b, uint64(len(name)))
		b = append(b, name...)
	}
	return b
}

// decodeWindow decodes a stored window.
func decodeWindow(value []byte) (*window, error) {
	if len(value) < 2 || value[0] != formatVersion {
		return nil, trace.Wrap(errFormat)
	}
	r := &decoder{rest: value[2:]}
	w := newWindow(r.signed())
	w.frozen = value[1] == 1
	gateways := r.names()
	organisations := r.names()
	for n := r.count(); n > 0; n-- {
		id := counterID{gateway: r.name(gateways), organisation: r.name(organisations)}
		id.origin = w.start - r.signed()
		e := entry{amount: r.amount()}
		if id.origin != w.start {
			e.base = r.amount()
		}
		w.entries[id] = e
	}
	if r.failed {
		return nil, trace.Wrap(errFormat)
	}
	return w, nil
}

// decoder reads the fields of a stored window. Its failed is set at the first invalid
// field.
type decoder struct {
	rest   []byte
	failed bool
}

// unsigned reads an unsigned variable-length integer.
func (r *decoder) unsigned() uint64 {
	v, n := binary.Uvarint(r.rest)
	r.skip(n)
	return v
}

// signed reads a signed variable-length integer.
func (r *decoder) signed() int64 {
	v, n := binary.Varint(r.rest)
	r.skip(n)
	return v
}

// skip skips the n bytes of an integer that was read. An n of 0 or less, as package
// binary returns it, means that the integer is invalid.
func (r *decoder) skip(n int) {
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return
	}
	r.rest = r.rest[n:]
}

// count reads the length of a list. A length above the number of bytes left is
// invalid, as each item takes at least one byte.
func (r *decoder) count() int {
	n := r.unsigned()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return 0
	}
	return int(n)
}

// names reads a list of names.
func (r *decoder) names() []string {
	list := make([]string, 0, r.count())
	for range cap(list) {
		size := r.count()
		list = append(list, string(r.rest[:size]))
		r.rest = r.rest[size:]
	}
	return list
}

// name reads an index into a list and returns the name there.
func (r *decoder) name(list []string) string {
	i := r.unsigned()
	if i >= uint64(len(list)) {
		r.failed = true
		return ""
	}
	return list[i]
}

// amount reads the four fields of an amount.
func (r *decoder) amount() Amount {
	return Amount{
		Requests:     r.unsigned(),
		PromptTokens: r.unsigned(),
		OutputTokens: r.unsigned(),
		Calls:        r.unsigned(),
	}
}
