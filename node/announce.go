package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

// hostsCollection holds the addresses of hosts, for those that start when the
// seeds are out of date.
const hostsCollection = "zinnia-hosts"

// hostRecord is a member of that collection.
type hostRecord struct {
	Address string `json:"address"`
}

// announce writes this host's address to the store once and reads the others'.
func (n *Node) announce(ctx context.Context) {
	for wait := retryMost; ctx.Err() == nil; wait = min(2*wait, 5*time.Second) {
		if n.announceOnce(ctx) {
			return
		}
		time.Sleep(wait/2 + time.Duration(rand.Int64N(int64(wait))))
	}
}

// announceOnce returns whether the record is written.
func (n *Node) announceOnce(ctx context.Context) bool {
	listing, err := n.platform.Objects.List(ctx, hostsCollection)
	if err != nil {
		return false // the followers log the state of the store
	}
	var addresses []string
	var revision uint64
	for _, m := range listing.Members {
		var h hostRecord
		if json.Unmarshal(m.Value, &h) != nil {
			continue // another release's record; gossip finds the host as well
		}
		addresses = append(addresses, h.Address)
		if m.Name == n.settings.Host {
			if h.Address == n.settings.Mesh {
				return true
			}
			revision = m.Revision
		}
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
	return err == nil // tried again; the followers log the state of the store
}
