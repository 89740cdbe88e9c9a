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

// proofTimeout bounds the look at an author's address.
const proofTimeout = 2 * time.Second

// liveness gives proof that an author of orders has ended: another
// incarnation answers at its address, which it therefore no longer holds, or
// the platform says that its host is gone. A silence proves nothing, nor does
// another incarnation in the table of members, which may be older.
type liveness struct {
	controller *Controller

	mu     sync.Mutex
	ended  map[string]bool      // proofs do not expire
	looked map[string]time.Time // when no proof was found last
}

// proofInterval is how often it is looked for proof; each look costs a read of
// the list of hosts and a dial.
const proofInterval = 5 * time.Second

// due tells whether to look for proof now, and notes that it is looked.
func (v *liveness) due(author string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.looked[author]) < proofInterval {
		return false
	}
	for id, at := range v.looked {
		if now.Sub(at) >= proofInterval {
			delete(v.looked, id)
		}
	}
	v.looked[author] = now
	return true
}

var _ authority.Liveness = (*liveness)(nil)

// AuthorEnded implements authority.Liveness.
func (v *liveness) AuthorEnded(author string) bool {
	v.mu.Lock()
	known := v.ended[author]
	v.mu.Unlock()
	if known {
		return true
	}
	if !v.due(author, time.Now()) {
		return false
	}
	host, _, _ := strings.Cut(author, "/")
	if !v.hostGone(host) && !v.replaced(host, author) {
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

// hostGone tells whether the platform says that an entry host is gone. What
// the list shows of targets is taken in: nobody else may get to read it after.
func (v *liveness) hostGone(host string) bool {
	k := v.controller
	if k.config.Hosts == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	hosts, err := k.config.Hosts.List(ctx)
	if err != nil {
		return false
	}
	k.shown(hosts)
	for _, h := range hosts {
		if h.ID == host {
			return h.State == provider.Gone
		}
	}
	return false
}

// shown takes in the targets that a list of hosts shows.
func (k *Controller) shown(hosts []provider.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets.ApplyPresent(time.Now(), hosts, k.local)
	k.tellUrgent()
}

// noCalls serves no calls.
var noCalls = link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, result.New(result.UnknownMessage, "this link serves no calls")
})

// replaced tells whether another incarnation of the author's process answers
// at its address.
func (v *liveness) replaced(host, author string) bool {
	k := v.controller
	for _, m := range k.Members() {
		p := m.Process
		if string(p.Host) != host || p.Role != machine.Controller || p.ID() == k.config.Self.ID() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
		defer cancel()
		l, err := k.config.Network.Dial(ctx, p.Address, noCalls)
		if err != nil {
			return false
		}
		defer func() { _ = l.Close() }()
		answered := l.Peer()
		return answered.Host == p.Host && answered.Role == p.Role && answered.ID() != author
	}
	// This process holds the address of earlier incarnations of its own host.
	self := k.config.Self
	return string(self.Host) == host && self.ID() != author
}
