package controller

import "math"

const (
	// noRecords is the version in a request that asks the peer for its current
	// version only, without records.
	noRecords = math.MaxUint64
	// periodicRequestEvery is the number of heartbeats on a link per request for
	// records to a peer that is no source. These requests find processes that the
	// sources do not know: the peer's changes contain the beats of every live
	// process, and a beat of an unknown process makes the next heartbeat request
	// all records.
	periodicRequestEvery = 40
)

// cursor is the position up to which this process has received the changes of a
// peer's table. A peer is a source if its records are requested in every
// heartbeat; membership.Sources selects the sources.
type cursor struct {
	version  uint64
	source   bool // the peer was a source at the last request
	needsAll bool // the next request must ask for all records
}

// nextVersion returns the version to put into the next request. A peer that has
// just become a source is asked for all its records once. A peer that is no
// source is asked only when periodic is set, and only for what changed since the
// first heartbeat on the link.
func (c *cursor) nextVersion(source, periodic bool) uint64 {
	if source && !c.source {
		c.needsAll = true
	}
	c.source = source
	switch {
	case c.needsAll:
		return 0
	case source || periodic && c.version > 0:
		return c.version
	default:
		return noRecords
	}
}

// received records the version reached by the reply to a request for the changes
// since the version requested. If no records were requested, it records only the first
// version on the link: a later one would skip changes that were not received.
func (c *cursor) received(requested, reached uint64) {
	if requested == 0 {
		c.needsAll = false
	}
	if requested != noRecords || c.version == 0 {
		c.version = reached
	}
}

// requestAll makes the next request ask for all records, because one that was
// received could not be merged.
func (c *cursor) requestAll() {
	c.needsAll = true
}
