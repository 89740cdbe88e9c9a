package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/poison"
)

// TestEvidenceStaysTheSame checks that evidence which is passed on again and again neither grows younger
// nor older, and that what is not known stays so.
func TestEvidenceStaysTheSame(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 678_000_000, time.UTC)
	want := []poison.Evidence{
		{Part: 7, Crashes: []poison.Crash{{Process: 2, At: at.Add(time.Second)}, {Process: 1, At: at}}, SoundAt: at.Add(-time.Minute)},
		{Part: 8, Crashes: []poison.Crash{{Process: 3, At: at}}},
	}
	got := want
	for i := range 50 {
		h := &Heartbeat{}
		sent := at.Add(time.Second + time.Duration(i)*1_234_567_891)
		h.SetCrashEvidence(sent, got)
		got = h.ToCrashEvidence(sent.Add(50 * time.Millisecond))
	}
	is.Equal(len(got), 2)
	for i := range want {
		is.Equal(got[i].Part, want[i].Part)
		is.Equal(len(got[i].Crashes), len(want[i].Crashes))
		for j, c := range want[i].Crashes {
			is.Equal(got[i].Crashes[j].Process, c.Process)
			is.True(got[i].Crashes[j].At.Equal(c.At))
		}
	}
	is.True(got[0].SoundAt.Equal(want[0].SoundAt))
	is.True(got[1].SoundAt.IsZero())
	h := &Heartbeat{}
	h.SetCrashEvidence(at, nil)
	is.Equal(h.EvidenceTimeMs, int64(0)) // costs nothing while nothing crashes
}

// TestEvidenceByOtherClocks checks that a crash never counts before its time, and that evidence by a clock
// that differs much isn't heeded.
func TestEvidenceByOtherClocks(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := &Heartbeat{}
	h.SetCrashEvidence(at, []poison.Evidence{{Part: 7, Crashes: []poison.Crash{{Process: 1, At: at}, {Process: 2, At: at.Add(-time.Second)}}}})
	for difference, crashes := range map[time.Duration]int{0: 2, -200 * time.Millisecond: 1, 200 * time.Millisecond: 2} {
		got := h.ToCrashEvidence(at.Add(difference))
		is.Equal(len(got[0].Crashes), crashes)
	}
	is.Equal(len(h.ToCrashEvidence(at.Add(time.Second))), 0)
	is.Equal(len(h.ToCrashEvidence(at.Add(-time.Second))), 0)
}
