package platform

import (
	"net/http"
	"slices"
	"time"

	"zinniapin/provider"
	"zinniapin/provider/httpapi"
	"zinniapin/target"
	"zinniapin/zone"
)

// hostList is the list of hosts together with its earlier states, as callers may see an
// old one.
type hostList struct {
	lag     time.Duration // age of the list that callers see
	frozen  bool
	asOf    time.Time      // when it was frozen
	history []hostSnapshot // oldest first
}

// hostSnapshot is the list of hosts from a point in time on.
type hostSnapshot struct {
	from  time.Time
	hosts []provider.Host
}

// set makes hosts the current list.
func (l *hostList) set(now time.Time, hosts []provider.Host) {
	l.history = append(l.history, hostSnapshot{now, slices.Clone(hosts)})
}

// current returns a copy of the current list.
func (l *hostList) current() []provider.Host {
	return slices.Clone(l.history[len(l.history)-1].hosts)
}

// freeze starts or ends the time during which callers see no changes.
func (l *hostList) freeze(now time.Time, frozen bool) {
	if frozen && !l.frozen {
		l.asOf = now
	}
	l.frozen = frozen
}

// visible returns the list that callers see. It is the list as it was lag before now, or
// lag before the time when it was frozen.
func (l *hostList) visible(now time.Time) []provider.Host {
	if l.frozen {
		now = l.asOf
	}
	at := now.Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].from.After(at) {
			l.dropBefore(i)
			return l.history[0].hosts
		}
	}
	return l.history[0].hosts
}

// dropBefore drops the snapshots before index i.
func (l *hostList) dropBefore(i int) {
	l.history = l.history[i:]
}

// editHost edits the entry of a host and returns whether the host is listed. The caller
// holds the lock.
func (s *Server) editHost(id string, edit func(*provider.Host)) bool {
	hosts := s.hosts.current()
	i := slices.IndexFunc(hosts, func(h provider.Host) bool { return h.ID == id })
	if i < 0 {
		return false
	}
	edit(&hosts[i])
	s.hosts.set(time.Now(), hosts)
	return true
}

// AddHost adds a host to the list, or replaces the one with the same id.
func (s *Server) AddHost(h provider.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addHost(h)
}

// addHost is AddHost for a caller that holds the lock.
func (s *Server) addHost(h provider.Host) {
	if s.editHost(h.ID, func(old *provider.Host) { *old = h }) {
		return
	}
	s.hosts.set(time.Now(), append(s.hosts.current(), h))
}

// SetHostState sets the state of a host and returns whether the host is listed.
func (s *Server) SetHostState(id string, state provider.HostState, leavesAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.editHost(id, func(h *provider.Host) {
		h.State = state
		h.LeavesAt = leavesAt
	})
}

// Reclaim takes all live reclaimable targets of a zone back after a notice, and returns
// their number.
func (s *Server) Reclaim(z zone.Name, notice time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	leavesAt := time.Now().Add(notice)
	for _, h := range s.hosts.current() {
		if h.Zone != z || h.State != provider.Live || h.Target == nil || h.Target.Class != target.Reclaimable {
			continue
		}
		n++
		s.takeAway(h, leavesAt, notice)
	}
	return n
}

// takeAway lists a host as leaving and removes it after the notice. The caller holds the
// lock.
func (s *Server) takeAway(h provider.Host, leavesAt time.Time, notice time.Duration) {
	s.editHost(h.ID, func(row *provider.Host) {
		row.State = provider.Leaving
		row.LeavesAt = leavesAt
	})
	s.timers = append(s.timers, time.AfterFunc(notice, func() { s.removeHost(h) }))
}

// removeHost stops a host's target and lists the host as gone.
func (s *Server) removeHost(h provider.Host) {
	if s.options.Provider != nil {
		s.options.Provider.Stop(h.Target.ID)
	}
	s.SetHostState(h.ID, provider.Gone, time.Time{})
}

// listHosts answers GET HostsPath.
func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.hosts.visible(time.Now())
	s.mu.Unlock()
	wire := make([]httpapi.Host, len(hosts))
	for i, h := range hosts {
		wire[i] = httpapi.FromHost(h)
	}
	reply(w, http.StatusOK, wire)
}
