package node

import (
	"math/rand/v2"
	"slices"

	"zinniapin/quota"
	"zinniapin/route"
	"zinniapin/settings"
	"zinniapin/truetime"
)

// limitsOf returns the limits in a configuration by organisation.
func limitsOf(c *route.Configuration) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, o := range c.Organisations {
		if o.Limit != nil && o.Limit.Rate > 0 {
			limits[o.Name] = quota.Limit{Rate: o.Limit.Rate, Burst: o.Limit.Burst}
		}
	}
	return limits
}

// limitIdentity returns the identity of this process as one that shares limits. A grantor takes a lower incarnation
// for an earlier process of the host and ignores its asks for 2 s. So the incarnation begins with the time since
// boot; a host that boots takes longer than these 2 s.
func limitIdentity(s *settings.Node) quota.Identity {
	const randomBits = 20
	started := uint64(truetime.SinceBoot().Milliseconds())
	return quota.Identity{
		Host: quota.HostKey(s.Host), Incarnation: started<<randomBits | rand.Uint64()>>(64-randomBits), Address: s.Mesh,
		HasSeeds: slices.ContainsFunc(s.Seeds, func(seed string) bool { return seed != s.Mesh }),
	}
}
