package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"zinniapin/affinity"
	"zinniapin/peers"
	"zinniapin/wire"
)

const (
	// recordReplicas is the number of hosts that hold the record of a stream besides the one that
	// began it.
	recordReplicas = 3
	// askedReplicas is the number of hosts that are asked for it: one more, since the list of hosts
	// may have changed. As many are asked for a history.
	askedReplicas = recordReplicas + 1
	// askTimeout bounds the wait for a record, and askInterval is the time after which hosts that
	// have not answered are asked again.
	askTimeout  = 160 * time.Millisecond
	askInterval = 40 * time.Millisecond
	// recordGrace is how long a record of a host in touch may take to count for more than a confirmed history.
	recordGrace = 25 * time.Millisecond
	// historyAskTimeout bounds the wait for a history, which the hosts that are asked confirm with the store.
	historyAskTimeout = confirmTimeout + askTimeout
	// maxDigestAge is the age up to which a digest stands for an answer.
	maxDigestAge = time.Second
	// maxHistoryAnswers bounds the answers to questions for histories that are prepared at once.
	maxHistoryAnswers = 64
)

// streamQuestion is a question to other hosts that is not answered yet.
type streamQuestion struct {
	kind    wire.StreamNotice_Kind // of its answers
	stream  uint64
	answers chan streamAnswer
}

// streamAnswer is the answer of a host.
type streamAnswer struct {
	from           string
	record         affinity.Record
	known, several bool
}

// decisive tells whether further answers can add nothing.
func (a streamAnswer) decisive() bool { return a.known || a.several }

// replicas returns the addresses of the other hosts that hold the record of a stream.
func (s *streamVersions) replicas(stream uint64, n int) []string {
	var others []string
	for _, a := range s.node.mesh.LiveAddresses(time.Now()) {
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

// recordAnswer is the answer to a question for a record, with the number of hosts that were asked and that answered.
type recordAnswer struct {
	streamAnswer
	asked, answered int
}

// askRecord asks the hosts that hold the record of a stream; 0 is none.
func (s *streamVersions) askRecord(ctx context.Context, stream uint64) recordAnswer {
	if stream == 0 {
		return recordAnswer{}
	}
	hosts := s.replicas(stream, askedReplicas)
	answer, silent := s.question(ctx, &wire.StreamNotice{Kind: wire.StreamNotice_ASKED, Stream: stream}, wire.StreamNotice_ANSWERED, hosts, askTimeout)
	return recordAnswer{answer, len(hosts), len(hosts) - len(silent)}
}

// askHistory asks other hosts to confirm with the store which versions the service had. Besides their
// answer it returns whether all hosts agree that the store answers none of them. In a large fleet a sample decides, while
// most hosts have been heard from.
func (o *origin) askHistory(ctx context.Context) (answer streamAnswer, storeAway bool) {
	s, now := o.s, time.Now()
	live, known := s.node.livePeers(), s.node.mesh.KnownHostCount()
	slices.SortStableFunc(live, func(a, b *peers.Peer) int { return cmp.Compare(storeRank(a), storeRank(b)) })
	if s.node.largeFleet() {
		if 2*s.node.mesh.HeardMembers(now) < known || len(live) == 0 {
			return streamAnswer{}, false
		}
		live = live[:min(askedReplicas, len(live))]
		known = len(live)
	}
	hosts := make([]string, 0, len(live))
	for _, p := range live {
		hosts = append(hosts, p.Digest.Address)
	}
	s.mu.Lock()
	s.asked++
	question := &wire.StreamNotice{Kind: wire.StreamNotice_HISTORY_ASKED, Stream: s.asked, Service: o.service, WindowMs: uint64(s.window(o.service, o.age).Milliseconds())}
	s.mu.Unlock()
	answer, silent := s.question(ctx, question, wire.StreamNotice_HISTORY_ANSWERED, hosts, historyAskTimeout)
	agree := 0
	for _, p := range live {
		if !silent[p.Digest.Address] || !p.Digest.StoreReachable && now.Sub(p.LastSeen) < maxDigestAge {
			agree++
		}
	}
	return answer, agree >= known
}

// storeRank orders the hosts that are asked to confirm a history: those first that reach the store.
func storeRank(p *peers.Peer) int {
	if p.Digest.StoreReachable {
		return 0
	}
	return 1
}

// question sends a question to hosts until one has a decisive answer, all have answered or the time is over. It
// returns the decisive answer, if there is one, and the hosts that have not answered.
func (s *streamVersions) question(ctx context.Context, notice *wire.StreamNotice, answered wire.StreamNotice_Kind, hosts []string, timeout time.Duration) (streamAnswer, map[string]bool) {
	silent := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		silent[h] = true
	}
	q := &streamQuestion{kind: answered, stream: notice.Stream, answers: make(chan streamAnswer, 2*askedReplicas)}
	s.mu.Lock()
	s.waiting[q] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, q)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	again := time.NewTicker(askInterval)
	defer again.Stop()
	s.sendSilent(notice, silent)
	for len(silent) > 0 {
		select {
		case a := <-q.answers:
			delete(silent, a.from)
			if a.decisive() {
				return a, silent
			}
		case <-again.C:
			s.sendSilent(notice, silent)
		case <-ctx.Done():
			return streamAnswer{}, silent
		}
	}
	return streamAnswer{}, silent
}

// sendSilent sends a question to the hosts that have not answered.
func (s *streamVersions) sendSilent(notice *wire.StreamNotice, silent map[string]bool) {
	hosts := make([]string, 0, len(silent))
	for h := range silent {
		hosts = append(hosts, h)
	}
	s.send(notice, hosts)
}

// handleNotice handles a notice of another host.
func (s *streamVersions) handleNotice(from string, notice *wire.StreamNotice) {
	switch notice.Kind {
	case wire.StreamNotice_BEGAN:
		s.mu.Lock()
		s.records.Put(s.node.clock.Now(), notice.Stream, s.recordOf(notice))
		s.mu.Unlock()
	case wire.StreamNotice_ASKED:
		s.mu.Lock()
		r, known := s.records.Get(notice.Stream)
		known = known && !s.doubtful(r)
		s.mu.Unlock()
		s.send(&wire.StreamNotice{
			Kind: wire.StreamNotice_ANSWERED, Stream: notice.Stream, Service: r.Service, Version: r.Version, Target: r.Target, Known: known, WindowMs: s.age(r),
		}, []string{from})
	case wire.StreamNotice_HISTORY_ASKED:
		s.mu.Lock()
		busy := s.answering >= maxHistoryAnswers
		if !busy {
			s.answering++
		}
		s.mu.Unlock()
		if !busy {
			go s.answerHistory(from, notice)
		}
	case wire.StreamNotice_ANSWERED, wire.StreamNotice_HISTORY_ANSWERED:
		s.mu.Lock()
		defer s.mu.Unlock()
		for q := range s.waiting {
			if q.stream != notice.Stream || q.kind != notice.Kind {
				continue
			}
			select {
			case q.answers <- streamAnswer{from, s.recordOf(notice), notice.Known, notice.Several}:
			default: // repeated answers; the first ones are enough
			}
		}
	}
}

// recordOf returns the record in a notice.
func (s *streamVersions) recordOf(notice *wire.StreamNotice) affinity.Record {
	return affinity.Record{Service: notice.Service, Version: notice.Version, Target: notice.Target, At: s.begunAgo(notice.WindowMs)}
}

// answerHistory answers the question of another host for the versions of a service.
func (s *streamVersions) answerHistory(from string, notice *wire.StreamNotice) {
	defer func() {
		s.mu.Lock()
		s.answering--
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	window := time.Duration(notice.WindowMs) * time.Millisecond
	version, finding, err := s.confirmHistory(ctx, notice.Service, max(window-clockMargin, 0))
	s.send(&wire.StreamNotice{
		Kind: wire.StreamNotice_HISTORY_ANSWERED, Stream: notice.Stream, Version: version,
		Known: err == nil && finding == affinity.Sole, Several: finding == affinity.Several || err == nil && finding != affinity.Sole,
	}, []string{from})
}
