package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/poison"
	"zinniapin/wire"
)

const (
	// suspectsPerDigest and crashesPerSuspect bound the evidence on parts of prompts in a digest to some
	// 400 bytes; successive digests carry successive suspects.
	suspectsPerDigest = 4
	crashesPerSuspect = 8
)

// composePromptEvidence adds evidence on parts of prompts under which targets have crashed.
func (n *Node) composePromptEvidence(d *wire.HostDigest) {
	sent := time.UnixMilli(d.TrueTimeMs)
	for _, e := range n.handler.Crashes.Evidence(suspectsPerDigest) {
		w := &wire.PromptEvidence{Part: uint64(e.Part)}
		latest := slices.SortedFunc(maps.Keys(e.Crashes), func(a, b poison.Crash) int {
			return cmp.Or(e.Crashes[b].Compare(e.Crashes[a]), cmp.Compare(a, b))
		})
		for _, c := range latest[:min(len(latest), crashesPerSuspect)] {
			w.Crashes = append(w.Crashes, uint32(c))
			w.CrashAgesMs = append(w.CrashAgesMs, sent.Sub(e.Crashes[c]).Milliseconds())
		}
		if !e.SoundAt.IsZero() {
			w.AnsweredAgeMs = proto.Int64(sent.Sub(e.SoundAt).Milliseconds())
		}
		d.PromptEvidence = append(d.PromptEvidence, w)
	}
}

// mergePromptEvidence takes the evidence of a peer into account. Its ages count from the time in the
// digest, so that evidence doesn't grow younger with each host that passes it on.
func (n *Node) mergePromptEvidence(d *wire.HostDigest) {
	sent := time.UnixMilli(d.TrueTimeMs)
	var all []poison.Evidence
	for _, w := range d.PromptEvidence {
		e := poison.Evidence{Part: poison.Part(w.Part), Crashes: make(map[poison.Crash]time.Time)}
		for i, c := range w.Crashes {
			if i < len(w.CrashAgesMs) {
				e.Crashes[poison.Crash(c)] = sent.Add(-time.Duration(w.CrashAgesMs[i]) * time.Millisecond)
			}
		}
		if w.AnsweredAgeMs != nil {
			e.SoundAt = sent.Add(-time.Duration(w.GetAnsweredAgeMs()) * time.Millisecond)
		}
		all = append(all, e)
	}
	n.handler.Crashes.Merge(all)
}
