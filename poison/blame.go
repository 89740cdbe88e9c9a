package poison

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a part with the crashes that no other part explains.
type suspect struct {
	part    Part
	crashes []Crash // ordered
	sound   bool    // was answered lately
}

// evaluate attributes the crashes to parts and returns whether that changes what is blocked. The part
// with the most crashes explains all of them; what remains decides on the others. Parts of prompts with just
// the same crashes can't be told apart and are blocked together, in requests that have all of them, until
// one of them occurs alone. Whole requests with the same crashes are blocked one by one.
func (d *Detector) evaluate(now time.Time) bool {
	all := d.listSuspects(now)
	var groups [][]Part
	for {
		worst := worstOf(all)
		if worst == nil {
			break
		}
		var parts, requests []Part
		explained := worst.crashes
		for i := range all {
			switch same := all[i].sound == worst.sound && slices.EqualFunc(all[i].crashes, explained, Crash.same); {
			case same && all[i].part.IsRequest():
				requests = append(requests, all[i].part)
			case same:
				parts = append(parts, all[i].part)
			}
		}
		if len(requests) == 0 {
			groups = append(groups, parts)
		}
		for _, r := range requests {
			groups = append(groups, append(slices.Clone(parts), r))
		}
		for i := range all {
			all[i].crashes = slices.DeleteFunc(slices.Clone(all[i].crashes), func(c Crash) bool { return slices.ContainsFunc(explained, c.same) })
		}
	}
	slices.SortFunc(groups, slices.Compare)
	changed := !slices.EqualFunc(groups, d.blocked, slices.Equal)
	d.blocked = groups
	return changed
}

// listSuspects returns the parts with crashes, ordered by part.
func (d *Detector) listSuspects(now time.Time) []suspect {
	var all []suspect
	for p, e := range d.suspects {
		if len(e.Crashes) > 0 {
			crashes := slices.SortedFunc(slices.Values(e.Crashes), compareCrashes)
			all = append(all, suspect{part: p, crashes: crashes, sound: now.Sub(e.SoundAt) <= soundMemory})
		}
	}
	slices.SortFunc(all, func(a, b suspect) int { return cmp.Compare(a.part, b.part) })
	return all
}

// worstOf returns the suspect with the most crashes among those that have enough to be blocked, nil if
// there is none. Of two with as many, one that was not answered lately is the worse.
func worstOf(all []suspect) *suspect {
	var worst *suspect
	for i := range all {
		s := &all[i]
		enough := len(s.crashes) >= minCrashes && !s.sound || len(s.crashes) >= minCrashesOfSound
		if !enough {
			continue
		}
		if worst == nil || len(s.crashes) > len(worst.crashes) || len(s.crashes) == len(worst.crashes) && worst.sound && !s.sound {
			worst = s
		}
	}
	return worst
}

// inBlocked tells whether a part is in a blocked group.
func (d *Detector) inBlocked(p Part) bool {
	return slices.ContainsFunc(d.blocked, func(group []Part) bool { return slices.Contains(group, p) })
}

// Blocked returns the groups of parts that are blocked: a request with all parts of a group is rejected.
func (d *Detector) Blocked() [][]Part { return d.blocked }

// Rejects tells whether a request with these parts must not be sent, for which blocked part, and until
// when as things are. The part is the one that stands for the whole request if that is blocked.
func (d *Detector) Rejects(parts []Part) (Part, time.Time, bool) {
	for _, group := range d.blocked {
		if containsAll(parts, group) {
			blocked := group[0]
			if last := group[len(group)-1]; last.IsRequest() {
				blocked = last
			}
			return blocked, d.blockedUntil(blocked), true
		}
	}
	return 0, time.Time{}, false
}

// containsAll tells whether parts has all of group.
func containsAll(parts, group []Part) bool {
	return !slices.ContainsFunc(group, func(p Part) bool { return !slices.Contains(parts, p) })
}

// CrashCount returns the number of crashes of a part that are kept.
func (d *Detector) CrashCount(p Part) int {
	e := d.suspects[p]
	if e == nil {
		return 0
	}
	return len(e.Crashes)
}

// blockedUntil returns when the latest crash of a part ceases to count.
func (d *Detector) blockedUntil(p Part) time.Time {
	var latest time.Time
	e := d.suspects[p]
	if e == nil {
		return latest
	}
	for _, c := range e.Crashes {
		if c.At.After(latest) {
			latest = c.At
		}
	}
	return latest.Add(crashMemory)
}

// Suspects tells whether a request with these parts should not be sent to a further target after one
// has crashed: one of its parts is about to be blocked, and was not answered lately.
func (d *Detector) Suspects(now time.Time, parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		e := d.suspects[p]
		return e != nil && len(e.Crashes) >= minCrashes-1 && now.Sub(e.SoundAt) > soundMemory
	})
}

// HasSuspects tells whether any part has crashes, or had some lately.
func (d *Detector) HasSuspects() bool { return len(d.suspects) > 0 }
