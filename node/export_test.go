package node

import (
	"context"

	"zinniapin/affinity"
	"zinniapin/forward"
	"zinniapin/wire"
)

// AdmitUnits takes units of an organisation's limit as requests do.
func (n *Node) AdmitUnits(organisation string, units int64) *forward.LimitRefusal {
	_, refusal := n.sharedLimits.Admit(context.Background(), organisation, units)
	return refusal
}

// SetReaches cuts a node off from the other nodes whose addresses it returns false for. It must be called before Run.
func (n *Node) SetReaches(reaches func(address string) bool) {
	n.mesh.Reaches, n.network.Reaches = reaches, reaches
}

// HoldPlanner makes requests wait for their target until the returned function is called.
func (n *Node) HoldPlanner() (release func()) {
	n.handler.PlannerMu.Lock()
	return n.handler.PlannerMu.Unlock
}

// HandleHistoryAnswer handles the answer of a host to a question for a history by its number: that it is of one version.
func (n *Node) HandleHistoryAnswer(from string, question uint64, version string) {
	n.streams.handleNotice(from, &wire.StreamNotice{Kind: wire.StreamNotice_HISTORY_ANSWERED, Stream: question, Version: version, Known: true})
}

// HasRecord tells whether a node holds the record of the stream that a request began.
func (n *Node) HasRecord(request string) bool {
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	_, ok := n.streams.records.Get(affinity.KeyOf(request))
	return ok
}

// HandleDigest handles a digest of a peer.
func (n *Node) HandleDigest(d *wire.HostDigest) { n.handleDigest(d) }
