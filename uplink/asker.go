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
	// gatewaysASecond is the number of gateways that may ask one grantor in a
	// second for organisations that are in no hurry.
	gatewaysASecond = 20
	// longestRound bounds the seconds in which each grantor is asked once.
	longestRound = 20
	// manyRequests is the rate, in requests a second, from which on an
	// organisation that lacks a grant is in a hurry; manyAtOnce is the number
	// of requests in progress.
	manyRequests = 0.15
	manyAtOnce   = 2
	// renewMargin is how long before its end a grant is renewed at the latest.
	renewMargin = 3 * time.Second
)

// holding is a grant that the gateway was told.
type holding struct {
	amount  grant.Amount
	expires time.Time
	long    bool
}

// asker decides for which organisations grants are asked now. In a fleet
// smaller than grant.LongTermMinGateways it is for all, every second. In a larger one it
// is for those whose demand exceeds the safe share, which needs no grant:
//   - at once, when many requests come and the grant lacks or does not cover
//     them, and when the grant has the short term;
//   - in the second of the round that belongs to the organisation's shard, when
//     a request or two came or a grant ends before the next round, so that the
//     grantor of the shard is asked for all of them by one call.
//
// It does no I/O and is not safe for concurrent use.
type asker struct {
	offset uint64 // spreads the rounds of gateways
	last   int64  // second of the last look
	held   map[string]holding
}

// newAsker returns an asker of a gateway, by machine.Process.ID.
func newAsker(gateway string) *asker {
	return &asker{offset: xxhash.Sum64String(gateway), held: map[string]holding{}}
}

// round returns the seconds in which each grantor is asked once.
func round(gateways int) int64 {
	return int64(min(longestRound, max(1, gateways/gatewaysASecond)))
}

// due returns the demands to send now. The limits are those of a configuration
// that may lack an organisation.
func (a *asker) due(now time.Time, demands []control.Demand, gateways int, limits func(string) (contract.Limits, bool)) []control.Demand {
	if gateways < grant.LongTermMinGateways {
		clear(a.held)
		return demands
	}
	turns := a.turns(now, round(gateways))
	a.forget(now)
	var due []control.Demand
	for _, d := range demands {
		l, known := limits(d.Organisation)
		if known && grant.AmountOf(d).Within(grant.GuaranteedShare(l, gateways), l) {
			continue
		}
		if a.atOnce(now, d, l) || turns[usage.ShardOf(d.Organisation, usage.DefaultShards)] && a.inTurn(now, d, l, gateways) {
			due = append(due, d)
		}
	}
	return due
}

// turns returns the shards whose second of the round has come since the last
// look.
func (a *asker) turns(now time.Time, length int64) [usage.DefaultShards]bool {
	var turns [usage.DefaultShards]bool
	second := now.Unix()
	first := max(a.last+1, second-length+1)
	a.last = second
	for s := range turns {
		own := int64((uint64(s) + a.offset) % uint64(length))
		for at := first; at <= second; at++ {
			turns[s] = turns[s] || at%length == own
		}
	}
	return turns
}

// covers tells whether a grant is in force and leaves a demand what it asks
// for. A gateway may always run one request.
func (h holding) covers(now time.Time, d control.Demand, l contract.Limits) bool {
	covered := h.amount
	covered.Concurrency = max(1, covered.Concurrency)
	return now.Before(h.expires) && grant.AmountOf(d).Within(covered, l)
}

// atOnce tells whether a demand is asked for without waiting for its turn.
func (a *asker) atOnce(now time.Time, d control.Demand, l contract.Limits) bool {
	h := a.held[d.Organisation]
	if now.Before(h.expires) && !h.long {
		return true
	}
	many := d.RequestsPerSecond >= manyRequests || d.Concurrency >= manyAtOnce
	return many && !h.covers(now, d, l)
}

// inTurn tells whether a demand is asked for when its turn comes.
func (a *asker) inTurn(now time.Time, d control.Demand, l contract.Limits, gateways int) bool {
	h := a.held[d.Organisation]
	next := time.Duration(round(gateways))*time.Second + renewMargin
	return !h.covers(now, d, l) || h.expires.Before(now.Add(next))
}

// take notes grants that the gateway was told.
func (a *asker) take(sent time.Time, grants []control.Grant) {
	for i := range grants {
		g := &grants[i]
		amount := grant.Amount{RequestsPerSecond: g.RequestsPerSecond, Concurrency: g.Concurrency, TokensPerMinute: g.TokensPerMinute}
		a.held[g.Organisation] = holding{amount, g.Expires, g.Expires.Sub(sent) > grant.Term}
	}
}

// forget drops grants that ended.
func (a *asker) forget(now time.Time) {
	for name, h := range a.held {
		if !now.Before(h.expires) {
			delete(a.held, name)
		}
	}
}
