package node

import (
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

// composePromptEvidence adds evidence on parts of prompts under which targets have crashed, if it is not older.
func (n *Node) composePromptEvidence(d *wire.HostDigest, maxAge time.Duration) {
	sent := time.UnixMilli(d.TrueTimeMs)
	for _, e := range n.handler.Crashes.Evidence(suspectsPerDigest, maxAge) {
		w := &wire.PromptEvidence{Part: uint64(e.Part)}
		slices.SortFunc(e.Crashes, func(a, b poison.Crash) int { return b.At.Compare(a.At) })
		for _, c := range e.Crashes[:min(len(e.Crashes), crashesPerSuspect)] {
			w.Processes = append(w.Processes, uint32(c.Process))
			w.CrashAgesMs = append(w.CrashAgesMs, sent.Sub(c.At).Milliseconds())
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
		e := poison.Evidence{Part: poison.Part(w.Part)}
		for i, process := range w.Processes {
			if i < len(w.CrashAgesMs) {
				at := sent.Add(-time.Duration(w.CrashAgesMs[i]) * time.Millisecond)
				e.Crashes = append(e.Crashes, poison.Crash{Process: poison.Process(process), At: at})
			}
		}
		if w.AnsweredAgeMs != nil {
			e.SoundAt = sent.Add(-time.Duration(w.GetAnsweredAgeMs()) * time.Millisecond)
		}
		all = append(all, e)
	}
	n.handler.Crashes.Merge(all)
}
