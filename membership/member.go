// Package membership keeps this process's table of all processes of the
// system, which is spread by gossip, and detects failed processes by their
// heartbeats. It does no I/O and reads no clock: callers pass in the time.
//
// The table is only eventually consistent. It is a hint for choosing peers and
// for dividing work: when two processes both believe that they own a key, the
// cost is a retry and not an error.
//
// # Bytes
//
// A full member record takes 80 bytes. When only a process's beat and the
// fields of wire.Beats changed, it is sent as a tag and a beat, 7.3 bytes
// (BenchmarkBytes). With n processes each increments its beat every
// BeatInterval(n), so that at most maxBeatsPerSecond beats change in a second
// in the whole mesh. A process reads the beats of others from its sources only:
// its two neighbours and extraSources more (see Sources).
//
// TestCostOfTheMesh in package controller measures the traffic: with 780
// processes a host sends and receives 3.7 KB of members a second, of which
// 1.8 KB are full records, requested over links whose peer became a source.
package membership

import (
	"time"

	"zinniapin/contract"
	"zinniapin/machine"
	"zinniapin/wire"
	"zinniapin/zone"
)

// Member is the latest record of one process.
type Member struct {
	Process machine.Process
	// Beat is the heartbeat counter, which the process increments while it
	// runs. Of two records of a process the one with the higher beat is newer.
	Beat uint64
	// Revision is the revision of the configuration that the process applied.
	Revision contract.Revision
	// Leaving is set when the process shuts down and takes no new work.
	Leaving bool
	// StoreReachable tells whether the process reaches the object API.
	StoreReachable bool
	// StoreFailed is set when a read of the object API that the process began
	// within the last StoreFailureTTL failed.
	StoreFailed bool
	// Settled is set once the process has run for settleTime, after which its
	// table tells live processes from failed ones.
	Settled bool
	// Via holds the addresses of the controllers that a gateway is linked to.
	Via []string
}

// ToWire converts a record to its wire message.
func (m *Member) ToWire() *wire.Member {
	return &wire.Member{
		Host:           string(m.Process.Host),
		Role:           string(m.Process.Role),
		Zone:           string(m.Process.Zone.Name),
		Region:         string(m.Process.Zone.Region),
		Address:        m.Process.Address,
		Via:            m.Via,
		Incarnation:    m.Process.Incarnation,
		Beat:           m.Beat,
		ConfigRevision: uint64(m.Revision),
		Leaving:        m.Leaving,
		StoreReachable: m.StoreReachable,
		StoreFailed:    m.StoreFailed,
		Settled:        m.Settled,
	}
}

// FromWire converts a wire message to a record.
func FromWire(w *wire.Member) Member {
	return Member{
		Process: machine.Process{
			Host:        machine.HostID(w.Host),
			Role:        machine.Role(w.Role),
			Incarnation: w.Incarnation,
			Zone:        zone.Zone{Name: zone.Name(w.Zone), Region: zone.Region(w.Region)},
			Address:     w.Address,
		},
		Beat:           w.Beat,
		Revision:       contract.Revision(w.ConfigRevision),
		Leaving:        w.Leaving,
		StoreReachable: w.StoreReachable,
		StoreFailed:    w.StoreFailed,
		Settled:        w.Settled,
		Via:            w.Via,
	}
}

// before orders records by host and role.
func before(a, b *Member) bool {
	if a.Process.Host != b.Process.Host {
		return a.Process.Host < b.Process.Host
	}
	return a.Process.Role < b.Process.Role
}

const (
	// minBeatInterval is the shortest time between two beats of a process.
	minBeatInterval = time.Second
	// maxBeatsPerSecond bounds the beats of the whole mesh in a second.
	maxBeatsPerSecond = 78
	// maxMissedBeats is the number of missed beats after which a process counts
	// as failed, once the time for beats to spread has passed as well.
	maxMissedBeats = 4
	// minSpreadTime is the longest time that a change takes to reach every
	// process of a small mesh. Every processesPerSpreadSecond processes more add
	// a second.
	minSpreadTime            = 5 * time.Second
	processesPerSpreadSecond = 78
	// forgetAfter is how long after its last beat a process is removed from the
	// table.
	forgetAfter = 15 * time.Minute
	// maxTickGap is the longest time between two ticks during which this
	// process counts as running. After a longer gap (a pause of this process or
	// a jump of its clock) the missing beats of others are not held against them.
	maxTickGap = 3 * time.Second
	// maxMembers bounds the number of processes in the table.
	maxMembers = 4096
)

// BeatInterval returns the time between two beats of a process when the mesh
// has n processes.
func BeatInterval(n int) time.Duration {
	scaled := time.Duration(n) * time.Second / maxBeatsPerSecond
	return max(minBeatInterval, scaled.Truncate(time.Second))
}

// FailureTimeout returns the time without a new beat after which a process
// counts as failed when the mesh has n processes.
func FailureTimeout(n int) time.Duration {
	return maxMissedBeats*BeatInterval(n) + spreadTime(n)
}

// settleTime returns how long after its start a process can tell live
// processes from failed ones when the mesh has n processes. By then its peers
// have told it which processes they consider live, or the failure timeout has
// passed.
func settleTime(n int) time.Duration {
	return min(FailureTimeout(n), 2*spreadTime(n))
}

// spreadTime returns the longest time that a change takes to reach every
// process of a mesh of n processes.
func spreadTime(n int) time.Duration {
	return minSpreadTime + time.Duration(n)*time.Second/processesPerSpreadSecond
}

// suspicionTimeout returns how long a suspected process has to refute the
// suspicion with a higher beat, in a mesh of n processes, before it counts as
// failed.
func suspicionTimeout(n int) time.Duration {
	return time.Second + spreadTime(n)
}
