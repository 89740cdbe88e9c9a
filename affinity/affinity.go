// Package affinity keeps a resumed stream at the software version that began it. Targets of
// several versions may serve one service side by side; what two versions produce does not fit
// together, and targets do not check it.
//
// The version of a stream is told by evidence alone: by a record of its beginning, or by a history
// that shows one version of the service for as long as the stream can be old. That a host has no
// record, or has not seen another version, is no evidence. Records are held by the host that began the
// stream, by a few others that all hosts choose alike by the stream's key, and, while a service
// has several versions, by the store, as histories are, so that they outlast all hosts.
//
// The types have no I/O and no clock of their own and are not safe for concurrent use. Times are by the
// clock that all hosts share.
package affinity

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// RecordTTL is how long after its beginning a stream is recorded.
const RecordTTL = time.Minute

// KeyOf returns the key of a stream by the id of the request that began it.
func KeyOf(request string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request)) // never fails
	return h.Sum64()
}

// Replicas returns the n hosts that hold the record of a stream, by rendezvous hashing: hosts with
// the same list choose alike, and lists that differ in one host differ in one of them at most.
func Replicas(stream uint64, hosts []string, n int) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(stream, b), weight(stream, a)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}

// weight is the weight of a host for a stream.
func weight(stream uint64, host string) uint64 {
	x := KeyOf(host) ^ stream
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
