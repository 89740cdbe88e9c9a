// Package membership keeps what this process knows of all processes of the
// system. It does no I/O: time comes in. What it says proves nothing; it only
// tells whom to try and divides work, and two processes that both believe
// they own a key cost a retry and no error.
//
// # Bytes
//
// A member's record takes 80 bytes in full. When no more changed than what many
// have in common, a process is told of by a tag and its beat, 7.3 bytes
// (BenchmarkBytes). With n processes each raises its beat every
// BeatInterval(n), so that at most beatsPerSecond of them change in a second
// over the whole mesh. A process takes the beats of others from its sources
// only, two neighbours and sourceChords more.
//
// TestCostOfTheMesh in package controller measures it: with 780 processes a
// host sends and receives 3.7 KB of members a second, of which 1.8 KB are
// records in full that links which became sources ask for.
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
	// Beat rises while the process lives.
	Beat uint64
	// Revision is the configuration in force at the process.
	Revision contract.Revision
	// Leaving processes take no new work.
	Leaving bool
	// StoreReachable tells whether the process reaches the object API.
	StoreReachable bool
	// StoreFailed tells that the process tried to read the object API, begun
	// at most EvidenceAge ago, and could not.
	StoreFailed bool
	// Settled processes run long enough to tell the live from the dead.
	Settled bool
	// Via holds the addresses of the controllers that a gateway is linked to.
	Via []string
}

// ToWire returns the message of a record.
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

// FromWire returns the record of a message.
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

const (
	// minBeatInterval is the shortest time between two beats of a process.
	minBeatInterval = time.Second
	// beatsPerSecond bounds the beats of the whole mesh.
	beatsPerSecond = 78
	// suspectBeats is the number of missed beats after which a process is no
	// longer taken for live.
	suspectBeats = 4
	// minSpread is the time that news may take through a small mesh, and
	// spreadScale the number of processes for each further second.
	minSpread   = 5 * time.Second
	spreadScale = 78
	// forgetAfter is how long a silent process is remembered.
	forgetAfter = 15 * time.Minute
	// maxTickGap is the largest time between two ticks that passes for time
	// in which beats could have come in.
	maxTickGap = 3 * time.Second
	// maxMembers bounds the table.
	maxMembers = 4096
)

// BeatInterval returns the time between two beats of a process when the mesh
// has n processes.
func BeatInterval(n int) time.Duration {
	scaled := time.Duration(n) * time.Second / beatsPerSecond
	return max(minBeatInterval, scaled.Truncate(time.Second))
}

// FailureTimeout returns the silence after which a process is no longer taken
// for live when the mesh has n processes.
func FailureTimeout(n int) time.Duration {
	return suspectBeats*BeatInterval(n) + spreadTime(n)
}

// settleTime returns the time after which a process that started can tell the
// live from the dead when the mesh has n processes: it was told by then whom
// others take for live, or waited for as long as a silence lasts.
func settleTime(n int) time.Duration {
	return min(FailureTimeout(n), 2*spreadTime(n))
}

// spreadTime returns the time that news may take through a mesh of n processes.
func spreadTime(n int) time.Duration {
	return minSpread + time.Duration(n)*time.Second/spreadScale
}

// doubtGrace returns the time in which a doubted process may raise its beat
// when the mesh has n processes.
func doubtGrace(n int) time.Duration {
	return time.Second + spreadTime(n)
}
