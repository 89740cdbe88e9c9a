package dispatch

import (
	"math"
	"time"
)

// latencyModel learns how long targets of one role take from the arrival of a prompt to its
// first token, or to the end of its prefill:
//
//	overhead + perToken * uncached tokens + perPair * pairs
//
// A pair is an uncached token together with one token before it. Attention takes time for each
// pair, so the time of long prompts grows faster than their length: without this term the
// forecast for a prompt of 30,000 tokens is about half of the time it takes.
//
// The parameters are a least-squares fit over recent samples, each weighted by the inverse
// square of its expected time, so that errors count by their share of the time.
type latencyModel struct {
	// product and response are the weighted sums of the normal equations.
	product  [3][3]float64
	response [3]float64
	// parameters are in milliseconds: for one prompt, for 1,000 tokens, for 1,000,000 pairs.
	parameters [3]float64
	unsolved   int // samples since the parameters were computed
}

const (
	// sampleDecay is the factor by which older samples count less with each new one.
	sampleDecay = 0.998
	// priorWeight is the number of samples for which each of the prior points counts.
	priorWeight = 3
	// samplesPerSolution is the number of samples between two computations of the parameters.
	samplesPerSolution = 5
	// weightOffset is added to the expected time of a sample, in milliseconds, so that the
	// shortest prompts do not outweigh all others.
	weightOffset = 20
	// outlierShare bounds the influence of a sample whose time deviates from the expected one
	// by more than this share of it: a queue or a slow target delayed it.
	outlierShare = 0.5
)

// priorPoints are prompts whose expected time the model starts from: tokens and pairs in the
// units of the parameters. They keep the fit determined while all prompts are alike.
var priorPoints = [][3]float64{{1, 0.2, 0.02}, {1, 2, 2}, {1, 12, 72}}

// newLatencyModel returns the model of targets that process so many tokens a millisecond.
func newLatencyModel(tokensPerMilli float64) *latencyModel {
	m := &latencyModel{parameters: [3]float64{float64(firstTokenOverhead) / float64(time.Millisecond), 1000 / tokensPerMilli, 0}}
	prior := m.parameters
	for _, x := range priorPoints {
		y := prior[0]*x[0] + prior[1]*x[1]
		m.add(x, y, priorWeight/((y+weightOffset)*(y+weightOffset)))
	}
	m.unsolved = 0
	return m
}

// features returns the inputs of the model for a prompt of which so many tokens are uncached.
func features(uncached, prompt int) [3]float64 {
	u := float64(uncached)
	return [3]float64{1, u / 1e3, u * (float64(prompt) - u/2) / 1e6}
}

// expected returns the expected time of a prompt at a target of usual speed, in milliseconds.
func (m *latencyModel) expected(x [3]float64) float64 {
	return m.parameters[0]*x[0] + m.parameters[1]*x[1] + m.parameters[2]*x[2]
}

// processing returns the part of the expected time that depends on the prompt.
func (m *latencyModel) processing(x [3]float64) float64 { return m.expected(x) - m.parameters[0] }

// speed returns the tokens a millisecond that a queue of prompts is processed with.
func (m *latencyModel) speed() float64 { return 1000 / m.parameters[1] }

// add adds a weighted sample.
func (m *latencyModel) add(x [3]float64, y, weight float64) {
	for i := range x {
		for j := range x {
			m.product[i][j] += weight * x[i] * x[j]
		}
		m.response[i] += weight * x[i] * y
	}
}

// observe adds a sample: a prompt took so many milliseconds.
func (m *latencyModel) observe(x [3]float64, millis float64) {
	for i := range x {
		for j := range x {
			m.product[i][j] *= sampleDecay
		}
		m.response[i] *= sampleDecay
	}
	// The prior points are added again as they decay, with the times now expected of them.
	for _, p := range priorPoints {
		y := m.expected(p)
		m.add(p, y, (1-sampleDecay)*priorWeight/((y+weightOffset)*(y+weightOffset)))
	}
	expected := m.expected(x)
	weight := 1 / ((expected + weightOffset) * (expected + weightOffset))
	if deviation := math.Abs(millis - expected); deviation > outlierShare*(expected+weightOffset) {
		weight *= outlierShare * (expected + weightOffset) / deviation
	}
	m.add(x, millis, weight)
	if m.unsolved++; m.unsolved >= samplesPerSolution {
		m.solve()
	}
}

// solve computes the parameters by Cramer's rule. Negative ones, which noise can cause, are set
// to their least plausible values.
func (m *latencyModel) solve() {
	m.unsolved = 0
	whole := determinant(m.product)
	if whole <= 0 {
		return // rounding errors; the next samples may give a solution
	}
	for i := range m.parameters {
		replaced := m.product
		for j := range replaced {
			replaced[j][i] = m.response[j]
		}
		m.parameters[i] = determinant(replaced) / whole
	}
	m.parameters[0] = max(m.parameters[0], 0)
	m.parameters[1] = max(m.parameters[1], minPerThousand)
	m.parameters[2] = max(m.parameters[2], 0)
}

// minPerThousand is the least time that 1,000 tokens take, in milliseconds.
const minPerThousand = 1

// determinant returns the determinant of a matrix.
func determinant(a [3][3]float64) float64 {
	return a[0][0]*(a[1][1]*a[2][2]-a[1][2]*a[2][1]) - a[0][1]*(a[1][0]*a[2][2]-a[1][2]*a[2][0]) + a[0][2]*(a[1][0]*a[2][1]-a[1][1]*a[2][0])
}
