package control

// PoolLoad is what one gateway, or several together, saw of a pool of
// engines over the last seconds.
type PoolLoad struct {
	Pool  string
	Model string
	// Requests is in requests a second, refused ones included.
	Requests float64
	// PromptTokens and OutputTokens are in tokens a second.
	PromptTokens float64
	OutputTokens float64
	// WaitSeconds is the mean time that dispatched requests queued, in seconds.
	WaitSeconds float64
	// RefusedShare is the share of requests refused for want of capacity.
	RefusedShare float64
	// StableShare is the share of requests of organisations that keep off
	// reclaimable targets.
	StableShare float64
}

// Add returns the load of two sources together: rates add up, shares and
// waits are weighted by requests.
func (l PoolLoad) Add(other PoolLoad) PoolLoad {
	total := l.Requests + other.Requests
	if total == 0 {
		return l
	}
	mean := func(a, b float64) float64 {
		return (a*l.Requests + b*other.Requests) / total
	}
	return PoolLoad{
		Pool:         l.Pool,
		Model:        l.Model,
		Requests:     total,
		PromptTokens: l.PromptTokens + other.PromptTokens,
		OutputTokens: l.OutputTokens + other.OutputTokens,
		WaitSeconds:  mean(l.WaitSeconds, other.WaitSeconds),
		RefusedShare: mean(l.RefusedShare, other.RefusedShare),
		StableShare:  mean(l.StableShare, other.StableShare),
	}
}
