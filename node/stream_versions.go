package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/affinity"
	"zinniapin/event"
	"zinniapin/forward"
	"zinniapin/invariant"
	"zinniapin/roster"
	"zinniapin/wire"
)

// clockMargin is the error of times that hosts have written to the store, and of their order: twice the
// most by which the clock of a host that has just started may be off.
const clockMargin = 10 * time.Second

// streamVersions implements forward.StreamVersions: it tells the versions of streams by records of this
// host, of others and of the store, and by the history of versions.
type streamVersions struct {
	node *Node
	// confirm reads the present versions and the histories from the store, announce writes the histories that
	// differ as well, search reads the records of streams.
	confirm, announce, search sharedCall
	changed                   chan struct{} // receives when histories in the store may have to change

	mu       sync.Mutex
	versions *affinity.Versions
	records  *affinity.Records
	found    *affinity.Records           // records of other hosts that the store holds
	windows  map[string]time.Duration    // by service: the longest time before a take-up in which its stream can have begun
	findings map[string]affinity.Finding // by service: the latest finding about that time
	// unfinished are the streams that the store is to hold for this host.
	unfinished *affinity.Unfinished
	waiting    map[*streamQuestion]bool
	// searchedAt is when the latest search of the records in the store began.
	searchedAt time.Time
	// asked is the number of the latest question for a history. The first is random, so that no answer to an earlier
	// process of this host matches.
	asked     uint64
	answering int // answers to such questions that are being prepared
	// announced are the versions that the histories in the store show as listed, by service.
	announced map[string]map[string]bool
	// targets are those of the latest list by their keys.
	targets map[uint32]roster.Target
}

var _ forward.StreamVersions = (*streamVersions)(nil)

// newStreamVersions returns the stream versions of a node.
func newStreamVersions(n *Node) *streamVersions {
	s := &streamVersions{
		node: n, changed: make(chan struct{}, 1), versions: affinity.NewVersions(), records: affinity.NewRecords(), found: affinity.NewRecords(),
		windows: make(map[string]time.Duration), findings: make(map[string]affinity.Finding), waiting: make(map[*streamQuestion]bool), unfinished: affinity.NewUnfinished(),
		asked: rand.Uint64(), announced: make(map[string]map[string]bool),
	}
	s.confirm.call, s.announce.call, s.search.call = s.readVersions, s.syncHistories, s.readRecords
	return s
}

// observeTargets takes in a complete list of targets as of a revision of the store.
func (s *streamVersions) observeTargets(all []roster.Target, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := s.node.clock.Now(), s.versions.Listed()
	s.versions.Observe(now, all)
	s.observeStarts(all)
	for service, versions := range s.versions.Listed() {
		if !slices.Equal(before[service], versions) {
			for version := range s.announced[service] {
				if !slices.Contains(before[service], version) {
					delete(s.announced[service], version) // another host may have found it gone meanwhile
				}
			}
			event.VersionsListed.Log(s.node.log).Str("service", service).Strs("versions", versions).Uint64("revision", revision).Send()
			s.requestSync()
		}
		s.find(now, service, 0)
	}
}

// requestSync makes keepHistories compare the histories in the store with this host's.
func (s *streamVersions) requestSync() {
	select {
	case s.changed <- struct{}{}:
	default: // requested already
	}
}

// window returns the time before a take-up in which the stream can have begun. The caller holds mu.
func (s *streamVersions) window(service string, age time.Duration) time.Duration {
	s.windows[service] = max(s.windows[service], age+clockMargin)
	return s.windows[service]
}

// find returns what the history tells of a service. When it ceases to show a sole version, the streams that
// began lately are to be stored. The caller holds mu.
func (s *streamVersions) find(now time.Time, service string, age time.Duration) (string, affinity.Finding) {
	window := s.window(service, age)
	version, finding := s.versions.Find(now, service, window)
	if finding != affinity.Sole && s.findings[service] == affinity.Sole {
		for stream, r := range s.records.Since(service, now.Add(-window)) {
			s.store(stream, r)
		}
	}
	s.findings[service] = finding
	return version, finding
}

// store makes keepRecords write a stream. The caller holds mu.
func (s *streamVersions) store(stream uint64, r affinity.Record) {
	s.unfinished.Add(s.node.clock.Now(), stream, r)
}

// Began implements forward.StreamVersions. The first streams of a version wait until the store has its history, but
// requests are served without the store, too.
func (s *streamVersions) Began(ctx context.Context, service, request string, o forward.StreamOrigin, age time.Duration) {
	s.record(service, affinity.KeyOf(request), o, s.node.clock.Now(), age)
	if s.isAnnounced(service, o.Version) || !s.node.targetsStore.reachable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for s.announce.join(ctx) != nil && ctx.Err() == nil && !s.isAnnounced(service, o.Version) {
		time.Sleep(minRetryDelay / 2) // another host wrote first, perhaps something else
	}
}

// isAnnounced tells whether the history in the store shows a version as listed.
func (s *streamVersions) isAnnounced(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced[service][version]
}

// Ended implements forward.StreamVersions.
func (s *streamVersions) Ended(request string) {
	stream := affinity.KeyOf(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.End(stream)
	s.unfinished.End(s.node.clock.Now(), stream)
}

// record records where a stream began, with other hosts, and in the store where that is needed.
func (s *streamVersions) record(service string, stream uint64, o forward.StreamOrigin, begun time.Time, age time.Duration) {
	now := s.node.clock.Now()
	r := affinity.Record{Service: service, Version: o.Version, Target: o.Target, At: begun}
	s.mu.Lock()
	s.records.Put(now, stream, r)
	if _, finding := s.find(now, service, age); finding != affinity.Sole {
		s.store(stream, r)
	}
	s.mu.Unlock()
	s.send(&wire.StreamNotice{
		Kind: wire.StreamNotice_BEGAN, Stream: stream, Version: o.Version, Target: o.Target, Service: service, WindowMs: s.age(r),
	}, s.replicas(stream, recordReplicas))
}

// Evidence for the version of a stream, as stream_origin names it.
const (
	evidenceRecord  = "record"  // of this host
	evidenceHistory = "history" // of the service, confirmed with the store
	evidenceAnswer  = "answer"  // of another host, which has a record
	evidenceStored  = "stored"  // record in the store
	evidencePeer    = "peer"    // history that another host has confirmed
	evidenceOutage  = "outage"  // history; the store answers no host
	evidenceNone    = "unknown"
)

// Origin implements forward.StreamVersions.
func (s *streamVersions) Origin(ctx context.Context, service, request string, age time.Duration) (forward.StreamOrigin, bool) {
	o := origin{s: s, service: service, age: age, searchBegan: time.Now(), at: s.node.clock.Now()}
	if request != "" {
		o.stream = affinity.KeyOf(request)
	}
	at, how := o.find(ctx)
	if how != evidenceNone && how != evidenceRecord && request != "" {
		s.record(service, o.stream, at, o.at, age)
	}
	o.log(request, at.Version, how)
	return at, how != evidenceNone
}

// origin is the search for the version of one stream.
type origin struct {
	s               *streamVersions
	service         string
	stream          uint64 // 0 if the caller does not name the request that began it
	age             time.Duration
	searchBegan     time.Time
	at              time.Time // when the stream began, by its record
	from            string    // host whose answer was decisive
	asked, answered int
	elsewhere       bool // a record says that another service began the stream
}

// find returns where the stream began and the evidence for it.
func (o *origin) find(ctx context.Context) (at forward.StreamOrigin, how string) {
	s := o.s
	if at, ok := o.recorded(); ok {
		return at, evidenceRecord
	}
	if o.elsewhere {
		return at, evidenceNone
	}
	answers := make(chan recordAnswer, 1)
	go func() {
		var answer recordAnswer
		defer func() { answers <- answer }()
		defer invariant.Contain("question for a record", nil)
		answer = s.askRecord(ctx, o.stream)
	}()
	version, finding, err := s.confirmHistory(ctx, o.service, o.age)
	confirmed := err == nil && finding == affinity.Sole
	if answer, ok := receive(answers, confirmed); ok {
		o.asked, o.answered = answer.asked, answer.answered
		if at, known := o.acceptAnswer(answer.record, answer.known); known {
			o.from = answer.from
			return at, evidenceAnswer
		}
	}
	if o.elsewhere {
		return at, evidenceNone
	}
	if confirmed {
		return forward.StreamOrigin{Version: version}, evidenceHistory
	}
	if err == nil && o.stream != 0 && s.searchRecords(ctx) == nil {
		if at, ok := o.recorded(); ok {
			return at, evidenceStored
		}
	}
	if err != nil && finding == affinity.Sole {
		return o.withoutStore(ctx, version)
	}
	return at, evidenceNone
}

// withoutStore returns the version that this host knows as the sole one if another host confirms it, or if the
// store answers nobody and no host knows of a later change. A host that is cut off from another one can't tell.
func (o *origin) withoutStore(ctx context.Context, sole string) (at forward.StreamOrigin, how string) {
	answer, storeAway := o.askHistory(ctx)
	switch {
	case answer.known:
		o.from = answer.from
		return forward.StreamOrigin{Version: answer.record.Version}, evidencePeer
	case answer.several || !storeAway || o.s.node.behindPeers():
		return at, evidenceNone
	default:
		return forward.StreamOrigin{Version: sole}, evidenceOutage
	}
}

// receive returns the answer of other hosts to the question for a record. A confirmed history waits for it no longer
// than recordGrace.
func receive(answers <-chan recordAnswer, confirmed bool) (recordAnswer, bool) {
	var over <-chan time.Time
	if confirmed {
		over = time.After(recordGrace)
	}
	select {
	case answer := <-answers:
		return answer, true
	case <-over:
		return recordAnswer{}, false
	}
}

// recorded returns where the stream began if this host has a record of it.
func (o *origin) recorded() (forward.StreamOrigin, bool) {
	if o.stream == 0 {
		return forward.StreamOrigin{}, false
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	r, ok := o.s.records.Get(o.stream)
	if !ok {
		r, ok = o.s.found.Get(o.stream)
	}
	return o.accept(r, ok)
}

// acceptAnswer is accept for the record of another host.
func (o *origin) acceptAnswer(r affinity.Record, ok bool) (forward.StreamOrigin, bool) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return o.accept(r, ok)
}

// accept returns where a stream began by a record. A stream that another service began can't go on at this one.
// The caller holds mu.
func (o *origin) accept(r affinity.Record, ok bool) (forward.StreamOrigin, bool) {
	o.elsewhere = o.elsewhere || ok && r.Service != "" && r.Service != o.service
	if !ok || o.elsewhere || o.s.doubtful(r) {
		return forward.StreamOrigin{}, false
	}
	o.at = r.At
	return forward.StreamOrigin{Version: r.Version, Target: r.Target}, true
}

// log logs the evidence for the version of a stream.
func (o *origin) log(request, version, how string) {
	n := o.s.node
	n.rosterMu.Lock()
	revision := n.roster.Revision()
	n.rosterMu.Unlock()
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	line := event.StreamOrigin.Log(n.log).Str("stream", request).Str("how", how).Str("version", version).Uint64("revision", revision).
		Str("from", o.from).Int("asked", o.asked).Int("answered", o.answered).Float64("ms", milliseconds(time.Since(o.searchBegan)))
	if last := n.targetsStore.lastAnswer(); !last.IsZero() {
		line = line.Float64("list_age_ms", milliseconds(time.Since(last)))
	}
	line.Send()
}
