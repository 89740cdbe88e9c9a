// Package machine defines the identities of hosts and of the processes on them.
package machine

import (
	"fmt"

	"zinniapin/zone"
)

// HostID identifies an entry host. A host that replaces another has a new id.
type HostID string

// Role is the function of a process.
type Role string

// Roles of processes.
const (
	Gateway    Role = "gateway"
	Controller Role = "controller"
	Operator   Role = "operator"
	// Node is the process of an entry host that forwards requests to targets
	// without a separate gateway and controller.
	Node Role = "node"
)

// Process is one incarnation of a process.
type Process struct {
	Host HostID
	Role Role
	// Incarnation is a random number drawn when the process starts, so that a
	// restarted process is distinguished from its predecessor.
	Incarnation uint64
	Zone        zone.Zone
	// Address is where the process accepts links, as IP:port.
	Address string
}

// ID returns a name for this incarnation that is never reused.
func (p Process) ID() string {
	return fmt.Sprintf("%s/%s/%016x", p.Host, p.Role, p.Incarnation)
}
