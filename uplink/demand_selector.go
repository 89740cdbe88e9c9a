package uplink

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/usage"
)

const (
	// gatewaysPerSecond is the number of gateways that send their non-urgent demands to one
	// grantor in a second, unless the round would exceed maxRoundSeconds.
	gatewaysPerSecond = 20
	// maxRoundSeconds is the maximum length of a round, in which a gateway sends its
	// non-urgent demands once.
	maxRoundSeconds = 20
	// A demand that no grant covers is urgent if its rate is at least
	// urgentRequestsPerSecond or its number of requests in progress at least
	// urgentConcurrency.
	urgentRequestsPerSecond = 0.15
	urgentConcurrency       = 2
	// renewMargin is the minimum time between the renewal of a grant and its expiry.
	renewMargin = 3 * time.Second
)

// heldGrant is a grant that the gateway received.
type heldGrant struct {
	amount  grant.Amount
	expires time.Time
	long    bool // its term exceeds grant.Term
}

// demandSelector selects the organisations for which the gateway requests grants. In a fleet
// of fewer than grant.LongTermMinGateways gateways it selects all of them every second. In a
// larger fleet it selects those whose demand exceeds the guaranteed share, which needs no
// grant:
//   - immediately, if the demand is urgent, that is, large and not covered by a grant, or if
//     its grant has the short term;
//   - otherwise in the second of the round that belongs to the organisation's shard, if the
//     demand is not covered or the grant expires before the next round. One call then carries
//     the demands for all organisations of the shard to its grantor.
//
// It does no I/O and is not safe for concurrent use.
type demandSelector struct {
	offset     uint64               // shifts the rounds of different gateways against each other
	lastSecond int64                // Unix time of the last call of dueShards
	held       map[string]heldGrant // by organisation
}

// newDemandSelector returns the selector of the gateway with this machine.Process.ID.
func newDemandSelector(gateway string) *demandSelector {
	return &demandSelector{offset: xxhash.Sum64String(gateway), held: map[string]heldGrant{}}
}

// roundSeconds returns the length of a round, in which non-urgent demands are sent once.
func roundSeconds(gateways int) int64 {
	return int64(min(maxRoundSeconds, max(1, gateways/gatewaysPerSecond)))
}

// due returns the demands for which to request grants now. limits returns false for an
// organisation that is not in the configuration.
func (s *demandSelector) due(now time.Time, demands []control.Demand, gateways int, limits func(string) (contract.Limits, bool)) []control.Demand {
	if gateways < grant.LongTermMinGateways {
		clear(s.held)
		return demands
	}
	shards := s.dueShards(now, roundSeconds(gateways))
	s.dropExpired(now)
	var due []control.Demand
	for _, d := range demands {
		l, known := limits(d.Organisation)
		if known && grant.AmountOf(d).Within(grant.GuaranteedShare(l, gateways), l) {
			continue
		}
		if s.isUrgent(now, d, l) || shards[usage.ShardOf(d.Organisation, usage.DefaultShards)] && s.dueInTurn(now, d, l, gateways) {
			due = append(due, d)
		}
	}
	return due
}

// dueShards returns the shards whose second of the round has come since the last call. length
// is that of a round in seconds.
func (s *demandSelector) dueShards(now time.Time, length int64) [usage.DefaultShards]bool {
	var due [usage.DefaultShards]bool
	second := now.Unix()
	first := max(s.lastSecond+1, second-length+1)
	s.lastSecond = second
	for shard := range due {
		turn := int64((uint64(shard) + s.offset) % uint64(length))
		for at := first; at <= second; at++ {
			due[shard] = due[shard] || at%length == turn
		}
	}
	return due
}

// covers reports whether a grant is in force and at least as large as a demand. A gateway may
// always run one request, so a granted concurrency below 1 counts as 1.
func (h heldGrant) covers(now time.Time, d control.Demand, l contract.Limits) bool {
	covered := h.amount
	covered.Concurrency = max(1, covered.Concurrency)
	return now.Before(h.expires) && grant.AmountOf(d).Within(covered, l)
}

// isUrgent reports whether a demand is sent without waiting for the turn of its shard.
func (s *demandSelector) isUrgent(now time.Time, d control.Demand, l contract.Limits) bool {
	h := s.held[d.Organisation]
	if now.Before(h.expires) && !h.long {
		return true
	}
	large := d.RequestsPerSecond >= urgentRequestsPerSecond || d.Concurrency >= urgentConcurrency
	return large && !h.covers(now, d, l)
}

// dueInTurn reports whether a demand is sent when the turn of its shard comes.
func (s *demandSelector) dueInTurn(now time.Time, d control.Demand, l contract.Limits, gateways int) bool {
	h := s.held[d.Organisation]
	untilNextTurn := time.Duration(roundSeconds(gateways))*time.Second + renewMargin
	return !h.covers(now, d, l) || h.expires.Before(now.Add(untilNextTurn))
}

// recordGrants records grants that the gateway received. sent is when it requested them, from
// which their terms count; a term longer than grant.Term makes a grant a long one.
func (s *demandSelector) recordGrants(sent time.Time, grants []control.Grant) {
	for i := range grants {
		g := &grants[i]
		amount := grant.Amount{RequestsPerSecond: g.RequestsPerSecond, Concurrency: g.Concurrency, TokensPerMinute: g.TokensPerMinute}
		s.held[g.Organisation] = heldGrant{amount, g.Expires, g.Expires.Sub(sent) > grant.Term}
	}
}

// dropExpired removes the grants that have expired.
func (s *demandSelector) dropExpired(now time.Time) {
	for name, h := range s.held {
		if !now.Before(h.expires) {
			delete(s.held, name)
		}
	}
}
