package controller

import (
	"context"
	"strings"
	"sync"
	"time"

	"zinniapin/authority"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/wire"
)

// probeTimeout bounds each step of a probe: a read of the list of hosts and a dial
// of the author's address.
const probeTimeout = 2 * time.Second

// liveness probes whether the author of an order has ended. The author is the
// controller process that wrote the order, given by its machine.Process.ID. A probe
// finds proof in two ways: another incarnation answers at the author's
// address, which the author therefore does not hold any more, or the platform
// lists the author's host as gone. A missing answer proves nothing, nor does
// another incarnation in the table of members, which may be older.
type liveness struct {
	controller *Controller

	mu        sync.Mutex
	ended     map[string]bool      // authors that a probe has shown to have ended
	lastProbe map[string]time.Time // time of the last probe, by author
}

// probeInterval is the shortest interval between two probes of one author. Each
// probe costs a read of the list of hosts and a dial.
const probeInterval = 5 * time.Second

// probeDue reports whether probeInterval has passed since the last probe of an
// author, the controller that issued an order, given by its process ID. If so, it
// records a probe at now, and deletes the times of all probes that are at least
// probeInterval old, which delay no further probe.
func (v *liveness) probeDue(author string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.lastProbe[author]) < probeInterval {
		return false
	}
	for id, at := range v.lastProbe {
		if now.Sub(at) >= probeInterval {
			delete(v.lastProbe, id)
		}
	}
	v.lastProbe[author] = now
	return true
}

var _ authority.Liveness = (*liveness)(nil)

// AuthorEnded implements authority.Liveness.
func (v *liveness) AuthorEnded(author string) bool {
	v.mu.Lock()
	proven := v.ended[author]
	v.mu.Unlock()
	if proven {
		return true
	}
	if !v.probeDue(author, time.Now()) {
		return false
	}
	host, _, _ := strings.Cut(author, "/")
	if !v.hostGone(host) && !v.processReplaced(host, author) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended[author] = true
	return true
}

// TargetGone implements authority.Liveness.
func (v *liveness) TargetGone(unit string) bool {
	for _, s := range v.controller.Targets() {
		if authority.EngineUnit(s.Target.ID) == unit {
			return s.State == provider.Gone
		}
	}
	return false
}

// hostGone reports whether the platform lists the host of an author as gone. It also
// applies the targets in the list to the view of targets, because no other read
// of the list may show them again.
func (v *liveness) hostGone(host string) bool {
	k := v.controller
	if k.config.Hosts == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	hosts, err := k.config.Hosts.List(ctx)
	if err != nil {
		return false
	}
	k.applyPresentTargets(hosts)
	for _, h := range hosts {
		if h.ID == host {
			return h.State == provider.Gone
		}
	}
	return false
}

// applyPresentTargets applies the targets in a list of hosts to the view. Targets
// that the list lacks stay as they are.
func (k *Controller) applyPresentTargets(hosts []provider.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets.ApplyPresent(time.Now(), hosts, k.isLocal)
	k.announceUrgent()
}

// rejectCalls is a handler that rejects every call.
var rejectCalls = link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, result.New(result.UnknownMessage, "this link serves no calls")
})

// processReplaced reports whether another incarnation of the author's process
// answers at its address.
func (v *liveness) processReplaced(host, author string) bool {
	k := v.controller
	for _, m := range k.Members() {
		p := m.Process
		if string(p.Host) != host || p.Role != machine.Controller || p.ID() == k.config.Self.ID() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		l, err := k.config.Network.Dial(ctx, p.Address, rejectCalls)
		if err != nil {
			return false
		}
		defer func() { _ = l.Close() }()
		current := l.Peer()
		return current.Host == p.Host && current.Role == p.Role && current.ID() != author
	}
	// This process listens at the address of earlier incarnations on its own host,
	// so those have ended.
	self := k.config.Self
	return string(self.Host) == host && self.ID() != author
}
