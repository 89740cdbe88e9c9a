package dispatch

import (
	"slices"
	"time"
)

// outputModel learns the time per output token at the targets of a service. With n requests
// running at a target it is
//
//	(base + perRequest * n) * factor of the target
//
// The parameters are a least-squares fit over recent samples, which are divided by the factor of
// their target. Each sample is weighted by the inverse square of its expected time. The median
// factor of a service is kept at 1, so that a target without samples counts as a typical one.
type outputModel struct {
	// count to product are the weighted sums of the normal equations: of 1, n, n², y and n*y.
	count, sum, squares, response, product float64
	base, perRequest                       float64 // milliseconds
	unsolved                               int     // samples since the parameters were computed
}

const (
	// priorOutputBase and priorOutputPerRequest are the initial parameters, in milliseconds.
	priorOutputBase       = 4.0
	priorOutputPerRequest = 0.1
	// minOutputBase is the least base time of a token, in milliseconds.
	minOutputBase = 0.1
	// minOutputFactor and maxOutputFactor bound the factor of a target.
	minOutputFactor, maxOutputFactor = 0.2, 5.0
	// outputFactorWeight is the weight of an own sample in the factor of a target,
	// reportedOutputFactorWeight that of a sample of a peer.
	outputFactorWeight         = 0.2
	reportedOutputFactorWeight = 0.1
	// outputFactorTTL is the time without a sample after which the distance of a factor to 1 is
	// halved, and again after each further such time.
	outputFactorTTL = 20 * time.Second
	// outputSampleTime is the span of a stream after which it gives a sample and begins a new one.
	outputSampleTime = 2 * time.Second
	// Samples outside these bounds are ignored: milliseconds per token, tokens, and running requests.
	minTokenMillis, maxTokenMillis = 0.02, 2000.0
	maxSampleTokens                = 1 << 20
	maxSampleRunning               = 1 << 14
)

// priorRunning are the numbers of running requests at which the model starts from the expected
// time. They keep the fit determined while all samples have the same number.
var priorRunning = [...]float64{1, 32}

// OutputSample is how fast a target generated a part of a stream.
type OutputSample struct {
	Tokens  int
	Millis  float64 // in which these tokens came
	Running float64 // mean number of requests at the target meanwhile, this one included
}

// plausible tells whether a sample can be one.
func (o OutputSample) plausible() bool {
	if o.Tokens <= 0 || o.Tokens > maxSampleTokens || !(o.Running >= 1) || o.Running > maxSampleRunning {
		return false
	}
	perToken := o.Millis / float64(o.Tokens)
	return perToken >= minTokenMillis && perToken <= maxTokenMillis // false for not a number
}

// newOutputModel returns the model of a service without samples.
func newOutputModel() *outputModel {
	m := &outputModel{base: priorOutputBase, perRequest: priorOutputPerRequest}
	m.addPrior(priorWeight)
	return m
}

// tokenMillis returns the time per output token at a target of factor 1, in milliseconds.
func (m *outputModel) tokenMillis(running float64) float64 { return m.base + m.perRequest*running }

// add adds a weighted sample.
func (m *outputModel) add(running, millis, weight float64) {
	m.count += weight
	m.sum += weight * running
	m.squares += weight * running * running
	m.response += weight * millis
	m.product += weight * running * millis
}

// addPrior adds the prior points with the times now expected of them.
func (m *outputModel) addPrior(weight float64) {
	for _, running := range priorRunning {
		expected := m.tokenMillis(running)
		m.add(running, expected, weight/(expected*expected))
	}
}

// observe adds a sample: a token took so many milliseconds, divided by the factor of the target.
func (m *outputModel) observe(running, millis float64) {
	for _, sum := range []*float64{&m.count, &m.sum, &m.squares, &m.response, &m.product} {
		*sum *= sampleDecay
	}
	m.addPrior((1 - sampleDecay) * priorWeight)
	expected := m.tokenMillis(running)
	weight := 1 / (expected * expected)
	if deviation := max(millis-expected, expected-millis); deviation > outlierShare*expected {
		weight *= outlierShare * expected / deviation
	}
	m.add(running, millis, weight)
	if m.unsolved++; m.unsolved >= samplesPerSolution {
		m.solve()
	}
}

// solve computes the parameters. A negative one, which noise can cause, is set to its least
// plausible value and the other one fitted to that.
func (m *outputModel) solve() {
	m.unsolved = 0
	determinant := m.count*m.squares - m.sum*m.sum
	if determinant <= 0 {
		return // rounding errors; the next samples may give a solution
	}
	m.perRequest = max((m.count*m.product-m.sum*m.response)/determinant, 0)
	m.base = (m.response - m.perRequest*m.sum) / m.count
	if m.base < minOutputBase {
		m.base = minOutputBase
		m.perRequest = max((m.product-m.base*m.sum)/m.squares, 0)
	}
}

// outputModelOf returns the output model of a service.
func (p *Planner) outputModelOf(service string) *outputModel {
	m := p.outputModels[service]
	if m == nil {
		m = newOutputModel()
		p.outputModels[service] = m
	}
	return m
}

// tokenMillis returns the time per output token at the target with so many requests running.
func (s *state) tokenMillis(running int) float64 {
	return s.output.tokenMillis(float64(running)) * s.outputFactor
}

// observeOutput updates the factor of a target and the model of its service by a sample. The
// weight is that of the sample in the factor.
func (p *Planner) observeOutput(now time.Time, s *state, o OutputSample, weight float64) {
	if !o.plausible() {
		return
	}
	m, perToken := s.output, o.Millis/float64(o.Tokens)
	ratio := min(max(perToken/m.tokenMillis(o.Running), minOutputFactor), maxOutputFactor)
	s.outputFactor += weight * (ratio - s.outputFactor)
	s.outputAt = now
	m.observe(o.Running, perToken/s.outputFactor)
}

// scale multiplies the times that the model expects.
func (m *outputModel) scale(by float64) {
	m.base, m.perRequest = m.base*by, m.perRequest*by
	m.response, m.product = m.response*by, m.product*by
}

// tickOutput moves the output factor of targets without recent samples towards 1 and scales the
// factors of each service so that their median is 1. The model of the service is scaled the other
// way, which leaves the forecasts for targets with samples as they are. The median and not the
// mean, since a few very slow targets must not make the others count as fast ones.
func (p *Planner) tickOutput(now time.Time) {
	for _, all := range p.services {
		sampled := p.factorScratch[:0]
		for _, s := range all {
			if s.outputAt.IsZero() {
				continue
			}
			if now.Sub(s.outputAt) >= outputFactorTTL {
				s.outputFactor = 1 + (s.outputFactor-1)/2
				s.outputAt = now
			}
			sampled = append(sampled, s.outputFactor)
		}
		p.factorScratch = sampled
		if len(sampled) == 0 {
			continue
		}
		slices.Sort(sampled)
		median := sampled[len(sampled)/2]
		all[0].output.scale(median)
		for _, s := range all {
			if !s.outputAt.IsZero() {
				s.outputFactor = min(max(s.outputFactor/median, minOutputFactor), maxOutputFactor)
			}
		}
	}
}

// OutputMeter measures the output of one stream. Its zero value is ready for use.
type OutputMeter struct {
	begun, last time.Time // of the sample; zero before its first tokens
	tokens      int       // since begun
	running     float64   // requests times milliseconds
}

// Discard drops the sample that a meter has begun, since its time was not that of the target.
func (m *OutputMeter) Discard() { *m = OutputMeter{} }

// OutputReceived records that so many tokens of a stream have come at a time. The first ones begin
// the sample.
func (p *Planner) OutputReceived(now time.Time, t Ticket, m *OutputMeter, tokens int) {
	s := p.targets[t.target]
	if s == nil || s.jobs[t.id] == nil {
		m.Discard() // the target has restarted
		return
	}
	if m.begun.IsZero() {
		m.begun, m.last = now, now
		return
	}
	m.running += float64(s.runningAt(now)) * millisOf(now.Sub(m.last))
	m.last = now
	m.tokens += tokens
	if now.Sub(m.begun) >= outputSampleTime {
		p.takeOutputSample(s, m)
		m.begun = now
	}
}

// OutputEnded takes the last sample of a stream. It must be called before End.
func (p *Planner) OutputEnded(t Ticket, m *OutputMeter) {
	if s := p.targets[t.target]; s != nil && s.jobs[t.id] != nil {
		p.takeOutputSample(s, m)
	}
	m.Discard()
}

// takeOutputSample learns from the sample of a meter, queues it for the peers and empties the meter.
func (p *Planner) takeOutputSample(s *state, m *OutputMeter) {
	millis := millisOf(m.last.Sub(m.begun))
	// A slowdown that the target reported meanwhile is no property of it.
	o := OutputSample{Tokens: m.tokens, Millis: millis / s.meanSlowdown(m.begun, m.last), Running: max(m.running/max(millis, 1e-3), 1)}
	m.tokens, m.running = 0, 0
	if !o.plausible() {
		return
	}
	p.observeOutput(m.last, s, o, outputFactorWeight)
	r := p.report(s.target.ID)
	if r.StartedMillis != s.target.StartedMillis {
		if r.Leaving {
			return // the report is on another incarnation
		}
		r.StartedMillis, r.OutputSamples = s.target.StartedMillis, nil
	}
	if len(r.OutputSamples) < maxReportedSamples {
		r.OutputSamples = append(r.OutputSamples, o)
	}
}

// applyOutputSamples learns from the output samples of a peer's report, unless they are of another
// incarnation of the target.
func (p *Planner) applyOutputSamples(now time.Time, s *state, r *Report) {
	if r.StartedMillis != s.target.StartedMillis {
		return
	}
	for _, o := range r.OutputSamples[:min(len(r.OutputSamples), maxReportedSamples)] {
		p.observeOutput(now, s, o, reportedOutputFactorWeight)
	}
}

// runningAt returns the number of requests of all hosts that run at the target, as far as known.
func (s *state) runningAt(now time.Time) int {
	running := len(s.jobs)
	for _, l := range s.peers {
		if now.Sub(l.at) <= peerLoadTTL {
			running += l.Active
		}
	}
	if s.target.Slots > 0 {
		running = min(running, s.target.Slots)
	}
	return running
}

// millisOf returns a duration in milliseconds.
func millisOf(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
