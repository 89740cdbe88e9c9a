// Package machine describes the hosts of the system and the processes on
// them.
package machine

import (
	"fmt"

	"zinniapin/zone"
)

// HostID names an entry host. A replaced host gets a new id.
type HostID string

// Role is what a process of the system does.
type Role string

// Roles of processes.
const (
	Gateway    Role = "gateway"
	Controller Role = "controller"
	Operator   Role = "operator"
	// Node is the one process of a host that forwards requests.
	Node Role = "node"
)

// Process is one incarnation of a process of the system.
type Process struct {
	Host HostID
	Role Role
	// Incarnation is drawn at random when the process starts, so that a
	// restarted process is never taken for its predecessor.
	Incarnation uint64
	Zone        zone.Zone
	// Address is where the process takes links, as IP:port.
	Address string
}

// ID returns a name of this incarnation that is unique over time.
func (p Process) ID() string {
	return fmt.Sprintf("%s/%s/%016x", p.Host, p.Role, p.Incarnation)
}
