package controller

import (
	"math/rand/v2"
	"sort"
	"time"

	"zinniapin/membership"
)

const (
	// rejoinInterval is the interval at which a controller dials one address
	// that no live controller has. In this way two sides of a partition find
	// each other again after both have dropped each other's members.
	rejoinInterval = 3 * time.Second
	// addressTTL is how long the address of a controller is kept after the
	// controller was last live.
	addressTTL = 24 * time.Hour
	// maxAddresses bounds the number of addresses kept.
	maxAddresses = 1024
)

// addressBook holds the addresses at which controllers were live. It is not safe
// for concurrent use.
type addressBook struct {
	seeds       []string             // addresses from the settings
	lastSeen    map[string]time.Time // by address: when its controller was last live
	nextAttempt time.Time            // before it no address is chosen to be dialled
	random      *rand.Rand
}

// newAddressBook returns an address book with the seed addresses of the settings
// and a random seed.
func newAddressBook(seeds []string, seed uint64) *addressBook {
	return &addressBook{seeds: seeds, lastSeen: map[string]time.Time{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// nextAddress returns an address to dial, or "" when none is due. The controllers
// are the live ones, including this one.
func (b *addressBook) nextAddress(now time.Time, controllers []membership.Member) string {
	live := make(map[string]bool, len(controllers))
	for _, m := range controllers {
		live[m.Process.Address] = true
		b.remember(now, m.Process.Address)
	}
	if now.Before(b.nextAttempt) {
		return ""
	}
	b.nextAttempt = now.Add(rejoinInterval)
	return b.pick(now, live)
}

// remember records the address of a live controller.
func (b *addressBook) remember(now time.Time, address string) {
	if _, known := b.lastSeen[address]; known || len(b.lastSeen) < maxAddresses {
		b.lastSeen[address] = now
	}
}

// pick returns a random one of the addresses that no live controller has, or "".
// All addresses, including the seed addresses, have the same probability.
func (b *addressBook) pick(now time.Time, live map[string]bool) string {
	var unreachable []string
	for address, at := range b.lastSeen {
		switch {
		case now.Sub(at) > addressTTL:
			delete(b.lastSeen, address)
		case !live[address]:
			unreachable = append(unreachable, address)
		}
	}
	for _, seed := range b.seeds {
		if _, known := b.lastSeen[seed]; !known && !live[seed] {
			unreachable = append(unreachable, seed)
		}
	}
	if len(unreachable) == 0 {
		return ""
	}
	sort.Strings(unreachable) // makes the choice depend on the random seed only, not on map order
	return unreachable[b.random.IntN(len(unreachable))]
}
