package control

// PoolLoad is the load of one model in a pool of engines over the last seconds, as seen by
// one gateway or summed over several.
type PoolLoad struct {
	Pool  string
	Model string
	// Requests is the number of requests per second, including refused ones.
	Requests float64
	// PromptTokens and OutputTokens are in tokens per second.
	PromptTokens float64
	OutputTokens float64
	// WaitSeconds is the mean queueing time of dispatched requests.
	WaitSeconds float64
	// RefusedShare is the share of requests refused for lack of capacity.
	RefusedShare float64
	// StableShare is the share of requests from organisations that do not use
	// reclaimable targets.
	StableShare float64
}

// Add returns the combined load of two sources. Rates are added; shares and waits are
// averaged, weighted by requests.
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
