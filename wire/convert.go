package wire

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

// FromDemand converts a demand to its message.
func FromDemand(d control.Demand) *Demand {
	return &Demand{
		Organisation:      d.Organisation,
		RequestsPerSecond: d.RequestsPerSecond,
		Concurrency:       int32(d.Concurrency),
		TokensPerMinute:   d.TokensPerMinute,
	}
}

// ToDemand converts the message to a demand.
func (x *Demand) ToDemand() control.Demand {
	return control.Demand{
		Organisation:      x.Organisation,
		RequestsPerSecond: x.RequestsPerSecond,
		Concurrency:       int(x.Concurrency),
		TokensPerMinute:   x.TokensPerMinute,
	}
}

// ToGrant converts the message to a grant. The term counts from the time at which
// the request was sent, so that a delayed reply does not extend the grant.
func (x *Grant) ToGrant(sent time.Time) control.Grant {
	return control.Grant{
		Organisation:      x.Organisation,
		Revision:          contract.Revision(x.ConfigRevision),
		RequestsPerSecond: x.RequestsPerSecond,
		Concurrency:       int(x.Concurrency),
		TokensPerMinute:   x.TokensPerMinute,
		Expires:           sent.Add(time.Duration(x.TermMs) * time.Millisecond),
	}
}

// FromPoolLoad converts the load of a pool to its message.
func FromPoolLoad(l control.PoolLoad) *PoolLoad {
	return &PoolLoad{
		Pool:         l.Pool,
		Model:        l.Model,
		Requests:     float32(l.Requests),
		PromptTokens: float32(l.PromptTokens),
		OutputTokens: float32(l.OutputTokens),
		Wait:         float32(l.WaitSeconds),
		Refused:      float32(l.RefusedShare),
		Stable:       float32(l.StableShare),
	}
}

// ToPoolLoad converts the message to the load of a pool.
func (x *PoolLoad) ToPoolLoad() control.PoolLoad {
	return control.PoolLoad{
		Pool:         x.Pool,
		Model:        x.Model,
		Requests:     float64(x.Requests),
		PromptTokens: float64(x.PromptTokens),
		OutputTokens: float64(x.OutputTokens),
		WaitSeconds:  float64(x.Wait),
		RefusedShare: float64(x.Refused),
		StableShare:  float64(x.Stable),
	}
}
