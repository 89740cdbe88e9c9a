// Package affinity keeps a resumed stream at the software version that began it. Targets of
// several versions may serve one service side by side; what two versions produce does not fit
// together, and targets do not check it.
//
// A host records the version of each stream that it begins with a few other hosts, which all hosts
// choose alike by the stream's key, so that whichever host the caller comes back to can ask them.
// While a service has had a single version lately nothing is recorded, since there is no choice.
//
// The types have no I/O and no clock of their own and are not safe for concurrent use.
package affinity

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"zinniapin/roster"
)

// RecordTTL is how long after its beginning a stream can be taken up.
const RecordTTL = time.Minute

// KeyOf returns the key of a stream by the id of the request that began it.
func KeyOf(request string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request)) // never fails
	return h.Sum64()
}

// span is the time during which targets of a version were listed.
type span struct {
	first, last time.Time // last is set when the version is gone
	listed      bool
}

// Versions tracks which software versions of each service were listed lately.
type Versions struct {
	services map[string]map[string]*span
	startsAt time.Time // of the first list
}

// NewVersions returns a tracker without any list.
func NewVersions() *Versions { return &Versions{services: make(map[string]map[string]*span)} }

// Observe takes in a complete list of targets.
func (v *Versions) Observe(now time.Time, targets []roster.Target) {
	if v.startsAt.IsZero() {
		v.startsAt = now
	}
	for _, versions := range v.services {
		for version, s := range versions {
			if s.listed {
				s.listed, s.last = false, now
			} else if now.Sub(s.last) > RecordTTL {
				delete(versions, version)
			}
		}
	}
	for i := range targets {
		t := &targets[i]
		versions := v.services[t.Service]
		if versions == nil {
			versions = make(map[string]*span)
			v.services[t.Service] = versions
		}
		if s := versions[t.Version]; s != nil {
			s.listed = true
		} else {
			versions[t.Version] = &span{first: now, listed: true}
		}
	}
}

// Listed returns the versions of each service whose targets were in the latest list, in order.
func (v *Versions) Listed() map[string][]string {
	all := make(map[string][]string, len(v.services))
	for service, versions := range v.services {
		for version, s := range versions {
			if s.listed {
				all[service] = append(all[service], version)
			}
		}
		slices.Sort(all[service])
	}
	return all
}

// since returns the versions of a service that were listed at any time since a moment.
func (v *Versions) since(service string, from time.Time) []string {
	var all []string
	for version, s := range v.services[service] {
		if s.listed || !s.last.Before(from) {
			all = append(all, version)
		}
	}
	return all
}

// Recorded tells whether streams of a service have to be recorded: it has had several versions
// lately, or the host has not listed targets for long enough to know.
func (v *Versions) Recorded(now time.Time, service string) bool {
	return now.Sub(v.startsAt) < RecordTTL || len(v.since(service, now.Add(-RecordTTL))) > 1
}

// Sole returns the only version that a service has had within RecordTTL, as far as the host knows.
func (v *Versions) Sole(now time.Time, service string) (string, bool) {
	if all := v.since(service, now.Add(-RecordTTL)); len(all) == 1 {
		return all[0], true
	}
	return "", false
}

// Presumed returns the version of a stream that began at most age ago and is recorded nowhere: the
// one that was alone before, since streams are recorded as soon as a second version is listed.
func (v *Versions) Presumed(now time.Time, service string, age time.Duration) (string, bool) {
	from := now.Add(-age)
	if v.startsAt.After(from) {
		return "", false
	}
	var earlier []string
	for _, version := range v.since(service, from) {
		if !v.services[service][version].first.After(from) {
			earlier = append(earlier, version)
		}
	}
	if len(earlier) != 1 {
		return "", false
	}
	return earlier[0], true
}

// maxRecords bounds the records of a host; the oldest are dropped first.
const maxRecords = 1 << 16

// Records holds the versions of streams by key.
type Records struct {
	versions map[uint64]string
	order    []recorded // oldest first
}

// recorded is when a stream was recorded.
type recorded struct {
	stream uint64
	at     time.Time
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{versions: make(map[uint64]string)} }

// Put records the version of a stream. The first record of a stream stays.
func (r *Records) Put(now time.Time, stream uint64, version string) {
	for len(r.order) > 0 && (now.Sub(r.order[0].at) > RecordTTL || len(r.order) >= maxRecords) {
		delete(r.versions, r.order[0].stream)
		r.order = r.order[1:]
	}
	if _, ok := r.versions[stream]; ok {
		return
	}
	r.versions[stream] = version
	r.order = append(r.order, recorded{stream, now})
}

// Get returns the version of a stream, and whether it is recorded.
func (r *Records) Get(stream uint64) (string, bool) {
	version, ok := r.versions[stream]
	return version, ok
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
