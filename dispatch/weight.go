package dispatch

// A late answer to a large prompt costs more than one to a small prompt: a large one
// completes more work and is late sooner. This matters where the prompts of a route
// differ in size by a factor of ten and more.

const (
	// sizeWeight is the weight of the newest prompt in a route's mean prompt size.
	sizeWeight = 0.02
	// minWeight and maxWeight bound the weight of a prompt. baseWeight is the part
	// of it that is the same for all sizes.
	minWeight  = 0.5
	maxWeight  = 4
	baseWeight = 0.3
)

// PromptWeight returns how much a late answer to a prompt of so many tokens costs
// relative to one of the route's mean size, for Job.Weight. It also updates the mean,
// so it must be called once for each request.
func (p *Planner) PromptWeight(route string, prompt int) float64 {
	if prompt <= 0 {
		return 1
	}
	mean := p.meanPromptTokens[route]
	if mean == 0 {
		mean = float64(prompt)
	}
	mean += sizeWeight * (float64(prompt) - mean)
	p.meanPromptTokens[route] = mean
	return min(max(baseWeight+(1-baseWeight)*float64(prompt)/mean, minWeight), maxWeight)
}
