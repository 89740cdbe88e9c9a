package affinity

import (
	"slices"
	"time"

	"zinniapin/roster"
)

// span is the time during which targets of a version were listed.
type span struct {
	first, last time.Time // last is set when the version is not listed
	listed      bool
}

// history is what is known of the versions of a service.
type history struct {
	since    time.Time // no version is missing from then on
	versions map[string]*span
}

// Versions tracks which software versions each service has had.
type Versions struct {
	services map[string]*history
}

// NewVersions returns a tracker without any list.
func NewVersions() *Versions { return &Versions{services: make(map[string]*history)} }

// Observe takes in a complete list of targets.
func (v *Versions) Observe(now time.Time, targets []roster.Target) {
	for _, h := range v.services {
		for version, s := range h.versions {
			if s.listed {
				s.listed, s.last = false, now
			} else if now.Sub(s.last) > historyTTL {
				delete(h.versions, version)
			}
		}
	}
	for i := range targets {
		v.span(now, &targets[i]).listed = true
	}
}

// Note takes in the versions of a list that is complete as well, but may be newer than the next one.
func (v *Versions) Note(now time.Time, targets []roster.Target) {
	for i := range targets {
		if s := v.span(now, &targets[i]); !s.listed {
			s.last = now
		}
	}
}

// span returns the span of a target's version, and adds it if there is none.
func (v *Versions) span(now time.Time, t *roster.Target) *span {
	h := v.history(now, t.Service)
	s := h.versions[t.Version]
	if s == nil {
		s = &span{first: now, last: now}
		h.versions[t.Version] = s
	}
	return s
}

// history returns the history of a service, and adds one that begins now if there is none.
func (v *Versions) history(now time.Time, service string) *history {
	h := v.services[service]
	if h == nil {
		h = &history{since: now, versions: make(map[string]*span)}
		v.services[service] = h
	}
	return h
}

// Listed returns the versions of each service whose targets were in the latest list, in order.
func (v *Versions) Listed() map[string][]string {
	all := make(map[string][]string, len(v.services))
	for service, h := range v.services {
		for version, s := range h.versions {
			if s.listed {
				all[service] = append(all[service], version)
			}
		}
		slices.Sort(all[service])
	}
	return all
}

// within tells whether the version was listed at any time since a moment.
func (s *span) within(from time.Time) bool { return s.listed || !s.last.Before(from) }

// Finding is what a history tells about the time in which a stream can have begun.
type Finding int

// Findings. Incomplete means that the history does not reach back that far, None that it has no version.
const (
	Incomplete Finding = iota
	None
	Sole
	Several
)

// Find tells whether a service has had a sole version since a window before now, and which.
func (v *Versions) Find(now time.Time, service string, window time.Duration) (string, Finding) {
	h := v.services[service]
	if h == nil {
		return "", Incomplete
	}
	from := now.Add(-window)
	sole, finding := "", None
	for version, s := range h.versions {
		if !s.within(from) {
			continue
		}
		if finding == Sole {
			return "", Several
		}
		sole, finding = version, Sole
	}
	if h.since.After(from) {
		return "", Incomplete
	}
	return sole, finding
}
