package wire

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/poison"
)

const (
	// maxEvidenceCrashes bounds the crashes of one request in a heartbeat, the latest ones.
	maxEvidenceCrashes = 8
	// maxClockDifference is how much the clocks of two processes may differ, the time on the way
	// included, for one to heed the evidence of the other. Two gateways that notice one crash
	// would else seem to have noticed two.
	maxClockDifference = 400 * time.Millisecond
)

// SetCrashEvidence puts evidence into a heartbeat that is sent now.
func (x *Heartbeat) SetCrashEvidence(now time.Time, all []poison.Evidence) {
	if len(all) == 0 {
		return
	}
	x.EvidenceTimeMs = now.UnixMilli()
	sent := time.UnixMilli(x.EvidenceTimeMs)
	for _, e := range all {
		w := &PromptEvidence{Part: uint64(e.Part)}
		slices.SortFunc(e.Crashes, func(a, b poison.Crash) int { return b.At.Compare(a.At) })
		for _, c := range e.Crashes[:min(len(e.Crashes), maxEvidenceCrashes)] {
			w.Processes = append(w.Processes, uint32(c.Process))
			w.CrashAgesMs = append(w.CrashAgesMs, sent.Sub(c.At).Milliseconds())
		}
		if !e.SoundAt.IsZero() {
			w.AnsweredAgeMs = proto.Int64(sent.Sub(e.SoundAt).Milliseconds())
		}
		x.CrashEvidence = append(x.CrashEvidence, w)
	}
}

// ToCrashEvidence returns the evidence in a heartbeat that arrives now. Its times are those by
// the clock of the process that noticed them, so that evidence stays the same however often it
// is passed on. A crash that is yet to come by the own clock is left out: it comes again.
func (x *Heartbeat) ToCrashEvidence(now time.Time) []poison.Evidence {
	sent := time.UnixMilli(x.EvidenceTimeMs)
	if sent.Sub(now).Abs() > maxClockDifference {
		return nil
	}
	var all []poison.Evidence
	for _, w := range x.CrashEvidence {
		e := poison.Evidence{Part: poison.Part(w.Part)}
		for i, process := range w.Processes {
			if i >= len(w.CrashAgesMs) {
				break
			}
			if at := sent.Add(-time.Duration(w.CrashAgesMs[i]) * time.Millisecond); !at.After(now) {
				e.Crashes = append(e.Crashes, poison.Crash{Process: poison.Process(process), At: at})
			}
		}
		if w.AnsweredAgeMs != nil {
			e.SoundAt = sent.Add(-time.Duration(w.GetAnsweredAgeMs()) * time.Millisecond)
		}
		all = append(all, e)
	}
	return all
}
