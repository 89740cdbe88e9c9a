package node

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/quota"
	"zinniapin/wire"
)

// Bounds of what is taken from a message about limits; a message beyond them is malformed.
const (
	// maxLimitEntries exceeds the number of organisations that fit a datagram of 64 KiB in use.
	maxLimitEntries = 2048
	// maxLimitUnits is the largest number of units that float64, by which package quota counts, holds exactly.
	maxLimitUnits = 1 << 53
	maxLimitFleet = 1 << 20
	maxLimitTerm  = time.Hour
	// maxLimitRetry is also the longest time that a reply names.
	maxLimitRetry = 24 * time.Hour
	permille      = 1000
)

// askToWire returns an ask as a message.
func askToWire(a quota.Ask) *wire.LimitAsk {
	m := &wire.LimitAsk{
		Host: a.Host, Incarnation: a.Incarnation, Sequence: a.Sequence, Fleet: uint32(min(max(a.Fleet, 0), maxLimitFleet)), Settled: a.Settled,
		Lends: a.Lends, TermMs: uint32(min(max(a.Term, 0), maxLimitTerm).Milliseconds()),
		HeardNs: int64(a.HeardAt), HeardIncarnation: a.HeardIncarnation,
	}
	for _, e := range a.Entries {
		entry := &wire.LimitAskEntry{Organisation: e.Organisation, Want: unitsToWire(e.Want), Least: unitsToWire(e.Least), Returned: unitsToWire(e.Returned)}
		if e.Waiting > e.Least {
			entry.Waiting = unitsToWire(e.Waiting)
		}
		m.Entries = append(m.Entries, entry)
	}
	return m
}

// askFromWire returns the ask in a message, and false if the message is malformed.
func askFromWire(m *wire.LimitAsk) (quota.Ask, bool) {
	term := time.Duration(m.TermMs) * time.Millisecond
	if len(m.Entries) > maxLimitEntries || m.Fleet == 0 || m.Fleet > maxLimitFleet || term > maxLimitTerm || m.HeardNs < 0 {
		return quota.Ask{}, false
	}
	a := quota.Ask{
		Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, Fleet: int(m.Fleet), Settled: m.Settled, Lends: m.Lends, Term: term,
		HeardAt: quota.Instant(m.HeardNs), HeardIncarnation: m.HeardIncarnation, Entries: make([]quota.AskEntry, 0, len(m.Entries)),
	}
	for _, e := range m.Entries {
		if e.Want > maxLimitUnits || e.Least > e.Want || e.Waiting > e.Want || e.Returned > maxLimitUnits {
			return quota.Ask{}, false
		}
		a.Entries = append(a.Entries, quota.AskEntry{Organisation: e.Organisation, Want: int64(e.Want), Least: int64(e.Least), Waiting: int64(max(e.Least, e.Waiting)), Returned: int64(e.Returned)})
	}
	return a, true
}

// replyToWire returns a reply as a message.
func replyToWire(r quota.Reply) *wire.LimitReply {
	m := &wire.LimitReply{
		Host: r.Host, GrantorIncarnation: r.Incarnation, Incarnation: r.AskedIncarnation, Sequence: r.Sequence,
		SentNs: int64(r.SentAt), Settled: r.Settled,
	}
	if r.LentKnown {
		m.LentPermille = proto.Uint32(uint32(math.Round(permille * min(max(r.Lent, 0), 1))))
	}
	for _, e := range r.Entries {
		m.Entries = append(m.Entries, &wire.LimitReplyEntry{Organisation: e.Organisation, Granted: unitsToWire(e.Granted), RetryAfterMs: retryToWire(e.RetryAfter)})
	}
	return m
}

// replyFromWire returns the reply in a message, and false if the message is malformed.
func replyFromWire(m *wire.LimitReply) (quota.Reply, bool) {
	if len(m.Entries) > maxLimitEntries || m.SentNs < 0 || m.GetLentPermille() > permille {
		return quota.Reply{}, false
	}
	r := quota.Reply{
		Host: m.Host, Incarnation: m.GrantorIncarnation, AskedIncarnation: m.Incarnation, Sequence: m.Sequence,
		SentAt: quota.Instant(m.SentNs), Settled: m.Settled,
		Lent: float64(m.GetLentPermille()) / permille, LentKnown: m.LentPermille != nil, Entries: make([]quota.ReplyEntry, 0, len(m.Entries)),
	}
	for _, e := range m.Entries {
		retryAfter := time.Duration(e.RetryAfterMs) * time.Millisecond
		if e.Granted > maxLimitUnits || retryAfter > maxLimitRetry {
			return quota.Reply{}, false
		}
		r.Entries = append(r.Entries, quota.ReplyEntry{Organisation: e.Organisation, Granted: int64(e.Granted), RetryAfter: retryAfter})
	}
	return r, true
}

// unitsToWire returns a number of units within what receivers accept.
func unitsToWire(units int64) uint64 { return uint64(min(max(units, 0), maxLimitUnits)) }

// retryToWire returns a time in milliseconds, rounded up, since 0 means that no unit has to be waited for.
func retryToWire(d time.Duration) uint32 {
	return uint32(math.Ceil(float64(min(max(d, 0), maxLimitRetry)) / float64(time.Millisecond)))
}
