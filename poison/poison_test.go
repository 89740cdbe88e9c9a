package poison

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// at returns a time so many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns a crash of a process.
func crash(process, ms int) Crash { return Crash{Process(process), at(ms)} }

func TestPartOfThreeCrashesIsRejectedWithWhateverOtherParts(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Crashed(at(0), crash(1, 0), []Part{1, 7})
	d.Crashed(at(100), crash(2, 100), []Part{2, 7})
	is.True(d.Suspects(at(100), []Part{9, 7})) // not worth a second target
	_, _, rejected := d.Rejects([]Part{1, 7})
	is.True(!rejected)
	is.True(d.Crashed(at(200), crash(3, 200), []Part{3, 7}))
	part, until, rejected := d.Rejects([]Part{8, 7})
	is.True(rejected)
	is.Equal(part, Part(7))
	is.Equal(until, at(200).Add(crashMemory))
	_, _, rejected = d.Rejects([]Part{1, 2, 3})
	is.True(!rejected)
	d.Expire(at(201).Add(crashMemory))
	_, _, rejected = d.Rejects([]Part{7})
	is.True(!rejected)
}

// A sound part was under way in three crashes before the part that explains them was heard of.
func TestVictimIsClearedByThePartThatExplainsItsCrashes(t *testing.T) {
	is := is.New(t)
	d := New()
	for c := range 3 {
		d.Crashed(at(c), crash(c, c), []Part{5})
	}
	_, _, rejected := d.Rejects([]Part{5})
	is.True(rejected)
	evidence := Evidence{Part: 7, Crashes: []Crash{crash(0, 0), crash(1, 1), crash(2, 2), crash(3, 3)}}
	is.True(d.Merge(at(100), evidence))
	_, _, rejected = d.Rejects([]Part{5})
	is.True(!rejected)
	_, _, rejected = d.Rejects([]Part{7})
	is.True(rejected)
}

// Two parts occurred in the same crashes only. Requests with both are rejected; one with either tells
// which it is.
func TestPartsThatOccurTogetherAreToldApartByARequestWithOne(t *testing.T) {
	is := is.New(t)
	d := New()
	for c := range 3 {
		d.Crashed(at(c), crash(c, c), []Part{5, 7})
	}
	_, _, both := d.Rejects([]Part{5, 7})
	_, _, one := d.Rejects([]Part{5, 9})
	is.True(both && !one)
	d.Answered(at(500), []Part{5, 9})
	_, _, rejected := d.Rejects([]Part{7, 11})
	is.True(rejected)
	_, _, rejected = d.Rejects([]Part{5, 11})
	is.True(!rejected)
}

// Two parts crash the same targets by turns, which start again at once and are taken for the processes before.
// Hosts notice a crash at slightly different times. Each crash has its own cause all the same.
func TestCrashesOfATargetThatStartsAgainAreToldApart(t *testing.T) {
	is := is.New(t)
	d := New()
	for round := range 4 {
		for process := range 2 {
			ms := 4000*round + 1000*process
			d.Crashed(at(ms), crash(process, ms), []Part{5})
			d.Crashed(at(ms+90), crash(process, ms+90), []Part{5})
			is.Equal(d.CrashCount(5), 2*round+process+1)
			d.Crashed(at(ms+2000), crash(process, ms+2000), []Part{7})
		}
	}
	_, _, five := d.Rejects([]Part{5, 11})
	_, _, seven := d.Rejects([]Part{7, 11})
	is.True(five && seven)
}

// Hosts pass evidence on to each other again and again. Its times must not change on the way, or old
// crashes would count forever and an old answer would clear new crashes.
func TestEvidenceKeepsItsTimesOnTheWay(t *testing.T) {
	is := is.New(t)
	one, two := New(), New()
	one.Answered(at(0), []Part{7})
	for c := range 6 {
		one.Crashed(at(100+c), crash(c, 100+c), []Part{7})
	}
	for i := range 1000 {
		now := at(200 + 50*i)
		for _, e := range one.Recent(4, time.Time{}) {
			two.Merge(now, e)
		}
		for _, e := range two.Recent(4, time.Time{}) {
			one.Merge(now, e)
		}
	}
	for _, d := range []*Detector{one, two} {
		is.Equal(d.Recent(1, time.Time{})[0].SoundAt, at(0))
		is.True(slices.Contains(d.Recent(1, time.Time{})[0].Crashes, crash(3, 103)))
		is.Equal(len(d.Blocked()), 1)
		d.Expire(at(150).Add(crashMemory))
		is.Equal(len(d.Blocked()), 0)
	}
}

// Peers are told what is new, and the rest only when all is asked for.
func TestOldEvidenceIsToldOnRequest(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Crashed(at(0), crash(1, 0), []Part{5})
	d.Crashed(at(5000), crash(2, 5000), []Part{7})
	is.Equal(len(d.Recent(4, at(4000))), 1)
	is.Equal(d.Recent(4, at(4000))[0].Part, Part(7))
	is.Equal(len(d.Recent(4, time.Time{})), 2)
	d.Answered(at(6000), []Part{5}) // clears it, which is new
	is.Equal(len(d.Recent(4, at(5500))), 1)
}

// What is kept stays bounded, whatever is reported.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 20_000 {
		d.Answered(at(i), []Part{Part(i)})
		if i%10 == 0 {
			d.Crashed(at(i), crash(i, i), []Part{Part(1_000_000 + i), 7})
		}
	}
	is.True(len(d.suspects) <= maxSuspects)
	is.True(len(d.sound) <= maxSound)
	is.Equal(d.CrashCount(7), maxCrashes)
	_, _, rejected := d.Rejects([]Part{7})
	is.True(rejected)
}

// Two requests come again and again, and are under way in the same three crashes. Either is rejected, and no
// other one.
func TestRequestsWithTheSameCrashesAreBlockedOneByOne(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Unix(1000, 0)
	first, second := PartOfRequest("a", "GET", "/x", nil), PartOfRequest("a", "GET", "/y", nil)
	for i := range 3 {
		crash := Crash{Process: Process(i), At: now.Add(time.Duration(i) * time.Second)}
		d.Crashed(now, crash, []Part{first})
		d.Crashed(now, crash, []Part{second})
	}
	for _, p := range []Part{first, second} {
		_, _, rejected := d.Rejects([]Part{p})
		is.True(rejected)
	}
	_, _, rejected := d.Rejects([]Part{PartOfRequest("b", "GET", "/x", nil)})
	is.True(!rejected)
}

// A request that many callers send all the time is under way in each crash. An answer between them clears it.
func TestRequestThatIsAnsweredBetweenCrashesIsNotBlocked(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Unix(1000, 0)
	popular, fatal := PartOfRequest("a", "GET", "/x", nil), PartOfRequest("a", "GET", "/dead", nil)
	for i := range 5 {
		now = now.Add(time.Second)
		crash := Crash{Process: Process(i), At: now}
		d.Crashed(now, crash, []Part{popular})
		d.Crashed(now, crash, []Part{fatal})
		now = now.Add(time.Second)
		d.Answered(now, []Part{popular})
	}
	_, _, rejected := d.Rejects([]Part{popular})
	is.True(!rejected)
	_, _, rejected = d.Rejects([]Part{fatal})
	is.True(rejected)
}

// Requests differ in one field, also where the fields joined are the same.
func TestPartOfRequestTellsFieldsApart(t *testing.T) {
	is := is.New(t)
	seen := make(map[Part]bool)
	for _, p := range []Part{
		PartOfRequest("a", "GET", "/x", nil), PartOfRequest("b", "GET", "/x", nil), PartOfRequest("a", "POST", "/x", nil),
		PartOfRequest("a", "GET", "/x", []byte("y")), PartOfRequest("a", "GET", "/xy", nil), PartOfRequest("aG", "ET", "/x", nil),
	} {
		is.True(p.IsRequest())
		is.True(!seen[p])
		seen[p] = true
	}
	is.True(!PartOfPrompt(1<<63 + 5).IsRequest())
}

// All targets crash at once while a popular request is under way at each of them. It was answered shortly
// before and stays allowed.
func TestPopularRequestIsNotBlockedWhenTargetsCrashTogether(t *testing.T) {
	is := is.New(t)
	d, now := New(), time.Unix(1000, 0)
	popular := PartOfRequest("a", "GET", "/x", nil)
	d.Answered(now, []Part{popular})
	now = now.Add(10 * time.Second)
	for i := range 4 {
		d.Crashed(now, Crash{Process: Process(i), At: now}, []Part{popular})
	}
	_, _, rejected := d.Rejects([]Part{popular})
	is.True(!rejected)
}
