package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/affinity"
	"zinniapin/event"
	"zinniapin/forward"
	"zinniapin/roster"
	"zinniapin/wire"
)

const (
	// recordReplicas is the number of hosts that hold the record of a stream besides the one that
	// began it.
	recordReplicas = 3
	// askedReplicas is the number of hosts that are asked for it: one more, since the list of hosts
	// may have changed.
	askedReplicas = recordReplicas + 1
	// askTimeout bounds the wait for an answer, and askInterval is the time after which hosts that
	// have not answered are asked again.
	askTimeout  = 160 * time.Millisecond
	askInterval = 40 * time.Millisecond
)

// streamVersions implements forward.StreamVersions: it keeps records for other hosts and asks them
// for theirs.
type streamVersions struct {
	node *Node

	mu       sync.Mutex
	versions *affinity.Versions
	records  *affinity.Records
	waiting  map[*streamQuestion]bool
}

// streamQuestion is a question to other hosts that is not answered yet.
type streamQuestion struct {
	stream  uint64
	answers chan streamAnswer
}

// streamAnswer is the answer of a host.
type streamAnswer struct {
	from, version string
	known         bool
}

var _ forward.StreamVersions = (*streamVersions)(nil)

// newStreamVersions returns the stream versions of a node.
func newStreamVersions(n *Node) *streamVersions {
	return &streamVersions{node: n, versions: affinity.NewVersions(), records: affinity.NewRecords(), waiting: make(map[*streamQuestion]bool)}
}

// observeTargets takes in a complete list of targets as of a revision of the store.
func (s *streamVersions) observeTargets(all []roster.Target, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.versions.Listed()
	s.versions.Observe(time.Now(), all)
	for service, versions := range s.versions.Listed() {
		if !slices.Equal(before[service], versions) {
			event.VersionsListed.Log(s.node.log).Str("service", service).Strs("versions", versions).Uint64("revision", revision).Send()
		}
	}
}

// Began implements forward.StreamVersions.
func (s *streamVersions) Began(service, request, version string) {
	now, stream := time.Now(), affinity.KeyOf(request)
	s.mu.Lock()
	s.records.Put(now, stream, version)
	shared := s.versions.Recorded(now, service)
	s.mu.Unlock()
	if shared {
		s.send(&wire.StreamNotice{Kind: wire.StreamNotice_BEGAN, Stream: stream, Version: version}, s.replicas(now, stream, recordReplicas))
	}
}

// replicas returns the addresses of the other hosts that hold the record of a stream.
func (s *streamVersions) replicas(now time.Time, stream uint64, n int) []string {
	var others []string
	for _, a := range s.node.mesh.LiveAddresses(now) {
		if a != s.node.settings.Mesh {
			others = append(others, a)
		}
	}
	return affinity.Replicas(stream, others, n)
}

// send sends a notice to hosts.
func (s *streamVersions) send(notice *wire.StreamNotice, hosts []string) {
	if err := s.node.mesh.SendStreamNotice(notice, hosts); err != nil {
		s.node.log.Error().Err(err).Msg("could not send a stream notice to peers")
	}
}

// Origin implements forward.StreamVersions.
func (s *streamVersions) Origin(ctx context.Context, service, request string, age time.Duration) (string, bool) {
	now, stream := time.Now(), affinity.KeyOf(request)
	answer, asked, answered := streamAnswer{}, 0, 0
	version, how := s.known(now, service, stream)
	if how == originUnknown {
		if request != "" {
			answer, asked, answered = s.ask(ctx, now, stream)
		}
		if version, how = answer.version, "answer"; !answer.known {
			version, how = s.presume(service, age)
		}
	}
	s.logOrigin(request, how, version, now).Str("from", answer.from).Int("asked", asked).Int("answered", answered).Send()
	return version, how != originUnknown
}

// known returns the version of a stream without asking other hosts, and how it was found.
func (s *streamVersions) known(now time.Time, service string, stream uint64) (version, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.records.Get(stream); ok {
		return version, "record"
	}
	if !s.versions.Recorded(now, service) {
		if version, ok := s.versions.Sole(now, service); ok {
			return version, "alone"
		}
	}
	return "", originUnknown
}

// logOrigin returns the line about the version of a stream, which its caller completes and sends.
func (s *streamVersions) logOrigin(request, how, version string, asked time.Time) *zerolog.Event {
	s.node.rosterMu.Lock()
	revision := s.node.roster.Revision()
	s.node.rosterMu.Unlock()
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return event.StreamOrigin.Log(s.node.log).Str("stream", request).Str("how", how).Str("version", version).Uint64("revision", revision).
		Float64("list_age_ms", milliseconds(time.Since(s.node.targetsStore.lastAnswer()))).Float64("ms", milliseconds(time.Since(asked)))
}

// originUnknown is how a stream's origin was found if it was not.
const originUnknown = "unknown"

// presume returns the version at which an unrecorded stream began, by the versions that this host has
// listed, and how it was found.
func (s *streamVersions) presume(service string, age time.Duration) (version, how string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.versions.Sole(now, service); ok {
		return version, "sole"
	}
	if version, ok := s.versions.Presumed(now, service, age); ok {
		return version, "presumed"
	}
	return "", originUnknown
}

// ask asks the hosts that hold the record of a stream, until one has it, all have answered or
// askTimeout is over. It returns an answer with a record if there is one, the number of hosts asked
// and the number of those that answered.
func (s *streamVersions) ask(ctx context.Context, now time.Time, stream uint64) (answer streamAnswer, asked, answered int) {
	hosts := s.replicas(now, stream, askedReplicas)
	q := &streamQuestion{stream: stream, answers: make(chan streamAnswer, 2*askedReplicas)}
	s.mu.Lock()
	s.waiting[q] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, q)
		s.mu.Unlock()
	}()
	silent := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		silent[h] = true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTicker(askInterval)
	defer again.Stop()
	s.askSilent(stream, silent)
	for len(silent) > 0 {
		select {
		case a := <-q.answers:
			delete(silent, a.from)
			if a.known {
				return a, len(hosts), len(hosts) - len(silent)
			}
		case <-again.C:
			s.askSilent(stream, silent)
		case <-ctx.Done():
			return streamAnswer{}, len(hosts), len(hosts) - len(silent)
		}
	}
	return streamAnswer{}, len(hosts), len(hosts)
}

// askSilent asks the hosts that have not answered.
func (s *streamVersions) askSilent(stream uint64, silent map[string]bool) {
	hosts := make([]string, 0, len(silent))
	for h := range silent {
		hosts = append(hosts, h)
	}
	s.send(&wire.StreamNotice{Kind: wire.StreamNotice_ASKED, Stream: stream}, hosts)
}

// handleNotice handles a notice of another host.
func (s *streamVersions) handleNotice(from string, notice *wire.StreamNotice) {
	switch notice.Kind {
	case wire.StreamNotice_BEGAN:
		s.mu.Lock()
		s.records.Put(time.Now(), notice.Stream, notice.Version)
		s.mu.Unlock()
	case wire.StreamNotice_ASKED:
		s.mu.Lock()
		version, known := s.records.Get(notice.Stream)
		s.mu.Unlock()
		s.send(&wire.StreamNotice{Kind: wire.StreamNotice_ANSWERED, Stream: notice.Stream, Version: version, Known: known}, []string{from})
	case wire.StreamNotice_ANSWERED:
		s.mu.Lock()
		defer s.mu.Unlock()
		for q := range s.waiting {
			if q.stream != notice.Stream {
				continue
			}
			select {
			case q.answers <- streamAnswer{from, notice.Version, notice.Known}:
			default: // repeated answers; the first ones are enough
			}
		}
	}
}
