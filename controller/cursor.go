package controller

import "math"

const (
	// noRecords is the version that asks for no records and for the present
	// version.
	noRecords = math.MaxUint64
	// guardEvery is the number of heartbeats on a link for each that asks for
	// records although the peer is no source. It finds processes that the
	// sources do not tell of: whoever lives is told of again and again, and a
	// beat of an unknown process makes the next heartbeat ask for everything.
	guardEvery = 40
)

// cursor is what this process has seen of a peer's table.
type cursor struct {
	version uint64
	source  bool // the peer was asked for everything as a source
	owed    bool // the next request must ask for everything
}

// ask returns the version to ask for. A peer that has become a source is asked
// for everything once; of others only what changes from the first heartbeat
// on is ever asked for, when guard is set.
func (c *cursor) ask(source, guard bool) uint64 {
	if source && !c.source {
		c.owed = true
	}
	c.source = source
	switch {
	case c.owed:
		return 0
	case source || guard && c.version > 0:
		return c.version
	default:
		return noRecords
	}
}

// took notes the version that the reply to a request reached.
func (c *cursor) took(asked, reached uint64) {
	if asked == 0 {
		c.owed = false
	}
	if asked != noRecords || c.version == 0 {
		c.version = reached
	}
}

// lost notes that something told could not be understood.
func (c *cursor) lost() {
	c.owed = true
}
