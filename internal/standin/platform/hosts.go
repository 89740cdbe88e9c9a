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

// hostList is the list of hosts and what it was before.
type hostList struct {
	lag     time.Duration
	frozen  bool
	asOf    time.Time // when frozen
	history []hostsAt
}

// hostsAt is the list from a time on.
type hostsAt struct {
	from  time.Time
	hosts []provider.Host
}

// set replaces the list.
func (l *hostList) set(now time.Time, hosts []provider.Host) {
	l.history = append(l.history, hostsAt{now, slices.Clone(hosts)})
}

// present returns a copy of the list as it truly is.
func (l *hostList) present() []provider.Host {
	return slices.Clone(l.history[len(l.history)-1].hosts)
}

// freeze stops or restarts the showing of changes.
func (l *hostList) freeze(now time.Time, frozen bool) {
	if frozen && !l.frozen {
		l.asOf = now
	}
	l.frozen = frozen
}

// shown returns the list as it is shown.
func (l *hostList) shown(now time.Time) []provider.Host {
	if l.frozen {
		now = l.asOf
	}
	at := now.Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].from.After(at) {
			l.forget(i)
			return l.history[0].hosts
		}
	}
	return l.history[0].hosts
}

// forget drops the lists before index i.
func (l *hostList) forget(i int) {
	l.history = l.history[i:]
}

// change changes the row of a host and tells whether there is one. The
// server's lock is held.
func (s *Server) change(id string, edit func(*provider.Host)) bool {
	hosts := s.hosts.present()
	i := slices.IndexFunc(hosts, func(h provider.Host) bool { return h.ID == id })
	if i < 0 {
		return false
	}
	edit(&hosts[i])
	s.hosts.set(time.Now(), hosts)
	return true
}

// AddHost adds a host to the list, or replaces the one of the same id.
func (s *Server) AddHost(h provider.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addHost(h)
}

// addHost adds or replaces a host. The lock is held.
func (s *Server) addHost(h provider.Host) {
	if s.change(h.ID, func(old *provider.Host) { *old = h }) {
		return
	}
	s.hosts.set(time.Now(), append(s.hosts.present(), h))
}

// SetHostState sets the state of a host and tells whether it is listed.
func (s *Server) SetHostState(id string, state provider.HostState, leavesAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(id, func(h *provider.Host) {
		h.State = state
		h.LeavesAt = leavesAt
	})
}

// Reclaim takes every live reclaimable target of a zone away at short notice
// and returns their number.
func (s *Server) Reclaim(z zone.Name, notice time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	leavesAt := time.Now().Add(notice)
	for _, h := range s.hosts.present() {
		if h.Zone != z || h.State != provider.Live || h.Target == nil || h.Target.Class != target.Reclaimable {
			continue
		}
		n++
		s.leave(h, leavesAt, notice)
	}
	return n
}

// leave lets a host go after a notice. The lock is held.
func (s *Server) leave(h provider.Host, leavesAt time.Time, notice time.Duration) {
	s.change(h.ID, func(row *provider.Host) {
		row.State = provider.Leaving
		row.LeavesAt = leavesAt
	})
	s.timers = append(s.timers, time.AfterFunc(notice, func() { s.gone(h) }))
}

// gone ends a host's target and lists the host as gone.
func (s *Server) gone(h provider.Host) {
	if s.options.Provider != nil {
		s.options.Provider.Stop(h.Target.ID)
	}
	s.SetHostState(h.ID, provider.Gone, time.Time{})
}

// listHosts answers GET of the list of hosts.
func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.hosts.shown(time.Now())
	s.mu.Unlock()
	wire := make([]httpapi.Host, len(hosts))
	for i, h := range hosts {
		wire[i] = httpapi.FromHost(h)
	}
	reply(w, http.StatusOK, wire)
}
