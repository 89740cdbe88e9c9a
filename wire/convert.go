package wire

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

// FromDemand returns the message of a demand.
func FromDemand(d control.Demand) *Demand {
	return &Demand{
		Organisation:      d.Organisation,
		RequestsPerSecond: d.RequestsPerSecond,
		Concurrency:       int32(d.Concurrency),
		TokensPerMinute:   d.TokensPerMinute,
	}
}

// ToDemand returns the demand of a message.
func (x *Demand) ToDemand() control.Demand {
	return control.Demand{
		Organisation:      x.Organisation,
		RequestsPerSecond: x.RequestsPerSecond,
		Concurrency:       int(x.Concurrency),
		TokensPerMinute:   x.TokensPerMinute,
	}
}

// ToGrant returns the grant of a message that answers a request sent at the
// given time: the term counts from there, so that a late answer ends no later.
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

// FromPoolLoad returns the message of a pool's load.
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

// ToPoolLoad returns the pool's load of a message.
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
