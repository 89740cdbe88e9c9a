package node

// SetReaches cuts a node off from the other nodes whose addresses it returns false for. It must be called before Run.
func (n *Node) SetReaches(reaches func(address string) bool) {
	n.mesh.Reaches, n.network.Reaches = reaches, reaches
}

// HoldPlanner makes requests wait for their target until the returned function is called.
func (n *Node) HoldPlanner() (release func()) {
	n.handler.PlannerMu.Lock()
	return n.handler.PlannerMu.Unlock
}
