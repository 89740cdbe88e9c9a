package controller

import (
	"math/rand/v2"
	"sort"
	"time"

	"zinniapin/membership"
)

const (
	// rejoinInterval is the interval at which a controller tries one address
	// that no live controller has. Two parts of a mesh that were cut off each
	// other for longer than they remember each other's members find each other
	// again by it.
	rejoinInterval = 3 * time.Second
	// rememberAddress is how long the address of a silent controller is tried.
	rememberAddress = 24 * time.Hour
	// maxAddresses bounds the addresses remembered.
	maxAddresses = 1024
)

// addressBook remembers where controllers were. It is not safe for concurrent
// use.
type addressBook struct {
	seeds  []string
	seen   map[string]time.Time
	next   time.Time
	random *rand.Rand
}

// newAddressBook returns a book that knows the seeds of the settings.
func newAddressBook(seeds []string, seed uint64) *addressBook {
	return &addressBook{seeds: seeds, seen: map[string]time.Time{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// try returns an address to dial now, or "". The controllers are the live
// ones, the own one included.
func (b *addressBook) try(now time.Time, controllers []membership.Member) string {
	live := make(map[string]bool, len(controllers))
	for _, m := range controllers {
		live[m.Process.Address] = true
		b.remember(now, m.Process.Address)
	}
	if now.Before(b.next) {
		return ""
	}
	b.next = now.Add(rejoinInterval)
	return b.pick(now, live)
}

// remember notes where a live controller is.
func (b *addressBook) remember(now time.Time, address string) {
	if _, known := b.seen[address]; known || len(b.seen) < maxAddresses {
		b.seen[address] = now
	}
}

// pick draws one of the addresses that no live controller has. Every address
// is as likely as any other, seeds included.
func (b *addressBook) pick(now time.Time, live map[string]bool) string {
	var silent []string
	for address, at := range b.seen {
		switch {
		case now.Sub(at) > rememberAddress:
			delete(b.seen, address)
		case !live[address]:
			silent = append(silent, address)
		}
	}
	for _, seed := range b.seeds {
		if _, known := b.seen[seed]; !known && !live[seed] {
			silent = append(silent, seed)
		}
	}
	if len(silent) == 0 {
		return ""
	}
	sort.Strings(silent) // so that the seed alone decides
	return silent[b.random.IntN(len(silent))]
}
