package dispatch

// Weights answer loads whose prompts differ by a factor of ten and more: a large
// one brings more work to its end, and is late sooner, so that placing it well
// matters more.

const (
	// sizeWeight is the weight of the newest prompt in a route's mean.
	sizeWeight = 0.02
	// leastWeight and mostWeight bound the weight of a prompt; a third of it is
	// the same for all sizes.
	leastWeight = 0.5
	mostWeight  = 4
	sameWeight  = 0.3
)

// PromptWeight returns what a late answer to a prompt costs in relation to one of its
// route's usual size, and notes the size. It is called once for each request.
func (p *Planner) PromptWeight(route string, prompt int) float64 {
	if prompt <= 0 {
		return 1
	}
	mean := p.sizes[route]
	if mean == 0 {
		mean = float64(prompt)
	}
	mean += sizeWeight * (float64(prompt) - mean)
	p.sizes[route] = mean
	return min(max(sameWeight+(1-sameWeight)*float64(prompt)/mean, leastWeight), mostWeight)
}
