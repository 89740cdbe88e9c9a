package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// hostsCollection is the store collection in which hosts publish their mesh addresses,
// so that a host whose configured seeds are out of date still finds its peers. In a
// large fleet only the relays do, which know all others.
const hostsCollection = "zinnia-hosts"

// announceCheckInterval is how often a host of a large fleet checks whether it has
// become a relay.
const announceCheckInterval = 2 * time.Second

// hostRecord is the value of a member of hostsCollection.
type hostRecord struct {
	Address string `json:"address"`
}

// announce publishes this host's address in the store and passes the addresses
// of the other hosts to the mesh. It retries with jittered backoff until the
// record is written or the context ends.
func (n *Node) announce(ctx context.Context) {
	delay := maxRetryDelay
	for ctx.Err() == nil {
		if n.shouldAnnounce(time.Now()) {
			era := n.era.current()
			if n.announceOnce(ctx) {
				n.awaitLaterEra(ctx, era) // the store may have lost the record then
				delay = maxRetryDelay
				continue
			}
			delay = min(2*delay, 5*time.Second)
			time.Sleep(delay/2 + time.Duration(rand.Int64N(int64(delay))))
			continue
		}
		time.Sleep(announceCheckInterval/2 + time.Duration(rand.Int64N(int64(announceCheckInterval))))
	}
}

// awaitLaterEra waits until the store has come back from an older copy, or the context ends.
func (n *Node) awaitLaterEra(ctx context.Context, era uint64) {
	for ctx.Err() == nil && n.era.current() == era {
		time.Sleep(announceCheckInterval/2 + time.Duration(rand.Int64N(int64(announceCheckInterval))))
	}
}

// shouldAnnounce reports whether this host publishes its address: each host of a small
// fleet does, also one that has found no other, and the relays of a large one.
func (n *Node) shouldAnnounce(now time.Time) bool {
	if n.largeFleet() {
		return n.mesh.Relays(now)
	}
	return now.Sub(n.started) >= discoveryTime
}

// announceOnce tries once to publish this host's address. It returns true when
// no further attempt is needed.
func (n *Node) announceOnce(ctx context.Context) bool {
	listing, err := n.platform.Objects.List(ctx, hostsCollection)
	if err != nil {
		return false // followCollection logs store outages
	}
	var addresses []string
	var revision uint64
	for _, member := range listing.Members {
		var record hostRecord
		err := json.Unmarshal(member.Value, &record)
		if member.Name == n.settings.Host {
			if err == nil && record.Address == n.settings.Mesh {
				return true
			}
			revision = member.Revision // replaced whatever it holds
		}
		if err == nil {
			addresses = append(addresses, record.Address)
		} // otherwise another release or writer wrote it; gossip also finds that host
	}
	n.mesh.AddAddresses(addresses)
	value, err := json.Marshal(hostRecord{n.settings.Mesh})
	if err != nil {
		return true
	}
	if revision > 0 {
		_, err = n.platform.Objects.Replace(ctx, hostsCollection, n.settings.Host, revision, value)
	} else {
		_, err = n.platform.Objects.Create(ctx, hostsCollection, n.settings.Host, value)
	}
	return err == nil // the caller retries; followCollection logs store outages
}
