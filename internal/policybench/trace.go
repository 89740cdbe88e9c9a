package policybench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/zone"
)

// request is one request of a trace and what became of it.
type request struct {
	at       int64 // nanoseconds from the start
	org      int
	service  bool
	prompt   int
	output   int
	affinity uint64
	stable   bool
	gateway  int

	left     float64 // output tokens
	sentAt   int64
	firstAt  int64
	doneAt   int64
	sent     bool
	refused  bool
	cheap    bool // ran on a reclaimable target
	harmed   bool // cut by a reclaimed target
	attempts int
	prefill  *engine
	engine   *engine
	choice   routing.Choice
	ticket   *admission.Ticket
}

// deployment is one of the users' fleets.
type deployment struct {
	name     string
	zones    []zone.Name
	pool     contract.Pool
	reserved int // engines
	cheap    int // reclaimable engines at the start
	prefill  int // of all, those in role prefill at the start of a split fleet
	services int
	service  string
	orgs     []organisation
	load     float64 // engines' worth of work at the usual level
	calls    float64 // calls of the service a second
}

// organisation is a customer's part of the work.
type organisation struct {
	name   string
	share  float64
	stable bool
	large  bool
}

// deployments returns both users' fleets.
func deployments() []deployment {
	return []deployment{
		{
			name:  "Kalnins",
			zones: []zone.Name{"riga-a", "riga-b", "jelgava", "valmiera"},
			pool: contract.Pool{
				Name: "assistant", Disaggregated: true, MaxOnDemand: 2, MaxReclaimable: 6,
			},
			reserved: 8, cheap: 4, prefill: 5, services: 4, service: "desk",
			orgs: organisations("family", 8), load: 7.4, calls: 25,
		},
		{
			name:  "Sonar Bangla",
			zones: []zone.Name{"kolkata", "siliguri", "bardhaman"},
			pool: contract.Pool{
				Name: "reports", Disaggregated: true, MaxOnDemand: 2, MaxReclaimable: 4,
			},
			reserved: 6, cheap: 3, prefill: 4, services: 3, service: "registry",
			orgs: organisations("desk", 8), load: 5.5, calls: 20,
		},
	}
}

// organisations returns n organisations, a few of them large.
func organisations(prefix string, n int) []organisation {
	shares := []float64{0.28, 0.22, 0.15, 0.10, 0.08, 0.07, 0.06, 0.04}
	orgs := make([]organisation, n)
	for i := range orgs {
		orgs[i] = organisation{
			name:   prefix + "-" + string(rune('a'+i)),
			share:  shares[i%len(shares)],
			large:  i < 2,
			stable: i == 4,
		}
	}
	return orgs
}

// scenario says what happens in a trace. Times are seconds from the start.
type scenario struct {
	name     string
	length   float64
	gateways int
	period   float64 // between swings of the mix
	ramp     float64 // length of a swing
	low      float64 // share of long prompts at the low end
	high     float64 // share of long prompts at the high end
	level    float64 // of the usual load
	crowd    span    // one organisation sends many times its share
	crowdBy  float64 // work of the crowd, as a share of the usual load
	reclaim  float64 // all reclaimable targets of a zone get notice; 0 never
	scarce   float64 // for how long none can be had after that
	outage   span    // the platform takes no orders
	prompt   float64 // mean tokens of long prompts; 0 for longPrompt
	rate     float64 // prompt tokens a second of an engine; 0 for prefillRate
	spread   float64 // standard deviation of the prefixes of an organisation; 0 for prefixSpread
}

// prefixes is the standard deviation of the prefixes of an organisation.
func (s *scenario) prefixes() float64 {
	if s.spread == 0 {
		return prefixSpread
	}
	return s.spread
}

// longTokens is the mean length of long prompts, in tokens.
func (s *scenario) longTokens() float64 {
	if s.prompt == 0 {
		return longPrompt
	}
	return s.prompt
}

// prefillRate is the prompt tokens a second of an engine.
func (s *scenario) prefillRate() float64 {
	if s.rate == 0 {
		return prefillRate
	}
	return s.rate
}

// span is a time from and to.
type span struct {
	from, to float64
}

// holds tells whether a time lies in the span.
func (s span) holds(t float64) bool {
	return t >= s.from && t < s.to
}

// tunedScenarios are those over which constants were set.
func tunedScenarios() []scenario {
	return []scenario{
		{name: "swings", length: 600, gateways: 6, period: 120, ramp: 20, low: 0.05, high: 0.75, level: 1},
		{name: "crowd", length: 480, gateways: 6, period: 160, ramp: 40, low: 0.2, high: 0.6, level: 0.9, crowd: span{150, 270}, crowdBy: 0.8},
		{name: "reclaim", length: 480, gateways: 6, period: 160, ramp: 30, low: 0.1, high: 0.6, level: 1, reclaim: 200, scarce: 150},
		{name: "outage", length: 480, gateways: 6, period: 120, ramp: 20, low: 0.1, high: 0.7, level: 1, outage: span{100, 300}},
		{name: "48 gateways", length: 480, gateways: 48, period: 120, ramp: 20, low: 0.05, high: 0.75, level: 1},
	}
}

// heldOutScenarios are those over which no constant was set.
func heldOutScenarios() []scenario {
	return []scenario{
		{name: "fast swings", length: 540, gateways: 7, period: 75, ramp: 10, low: 0.0, high: 0.85, level: 0.95},
		{name: "slow swings", length: 600, gateways: 6, period: 210, ramp: 90, low: 0.1, high: 0.9, level: 1.05},
		{name: "crowd and reclaim", length: 480, gateways: 6, period: 140, ramp: 25, low: 0.15, high: 0.5, level: 0.9, crowd: span{120, 200}, crowdBy: 1.2, reclaim: 160, scarce: 200},
		{name: "outage and reclaim", length: 480, gateways: 7, period: 150, ramp: 15, low: 0.1, high: 0.65, level: 0.9, outage: span{150, 330}, reclaim: 180, scarce: 120},
		{name: "36 gateways", length: 480, gateways: 36, period: 100, ramp: 30, low: 0.1, high: 0.7, level: 1},
	}
}

// freshScenarios are those that were first run once everything was settled.
func freshScenarios() []scenario {
	return []scenario{
		{name: "uneven swings", length: 540, gateways: 6, period: 95, ramp: 45, low: 0.02, high: 0.65, level: 1.02},
		{name: "two blows", length: 480, gateways: 7, period: 110, ramp: 15, low: 0.1, high: 0.8, level: 0.92, crowd: span{200, 290}, crowdBy: 0.6, reclaim: 240, scarce: 100},
		{name: "long outage", length: 480, gateways: 6, period: 130, ramp: 25, low: 0.1, high: 0.7, level: 0.97, outage: span{60, 420}},
		{name: "24 gateways", length: 480, gateways: 24, period: 150, ramp: 20, low: 0.05, high: 0.7, level: 1, reclaim: 250, scarce: 120},
	}
}

// Size of the prompts of long reports, tokens, and the prompt tokens a second
// of the engines that serve them.
const (
	reportPrompt = 11_000
	reportRate   = 20_000
)

// newPrefixes is a spread so wide that hardly a prefix comes twice: no engine
// has it cached.
const newPrefixes = 1e6

// reports fills in what long reports have in common.
func reports(all []scenario) []scenario {
	for i := range all {
		all[i].length = 360
		all[i].rate = reportRate
		if all[i].prompt == 0 {
			all[i].prompt = reportPrompt
		}
	}
	return all
}

// longTunedScenarios have prompts that take an engine half a second each; over
// them constants may be set.
func longTunedScenarios() []scenario {
	return reports([]scenario{
		{name: "reports", gateways: 6, period: 90, ramp: 20, low: 0.2, high: 0.6, level: 1.2},
		{name: "new reports", gateways: 6, period: 90, ramp: 20, low: 0.4, high: 0.8, level: 0.9, spread: newPrefixes},
		{name: "new reports alone", gateways: 6, period: 90, ramp: 20, low: 0.95, high: 1, level: 1.1, spread: newPrefixes},
		{name: "too many new reports", gateways: 6, period: 90, ramp: 20, low: 0.95, high: 1, level: 1.8, spread: newPrefixes},
		{name: "new reports, 24 gateways", gateways: 24, period: 90, ramp: 20, low: 0.4, high: 0.8, level: 0.9, spread: newPrefixes},
	})
}

// longHeldOutScenarios are the same in kind; over them no constant is set.
func longHeldOutScenarios() []scenario {
	return reports([]scenario{
		{name: "longer reports", gateways: 7, period: 75, ramp: 15, low: 0.1, high: 0.6, level: 0.9, prompt: 13_000},
		{name: "longer new reports", gateways: 7, period: 75, ramp: 15, low: 0.3, high: 0.9, level: 0.9, prompt: 13_000, spread: newPrefixes},
		{name: "new reports and crowd", gateways: 6, period: 110, ramp: 25, low: 0.2, high: 0.6, level: 0.8, crowd: span{150, 210}, crowdBy: 0.6, spread: newPrefixes},
		{name: "new reports, 48 gateways", gateways: 48, period: 100, ramp: 20, low: 0.3, high: 0.7, level: 0.9, spread: newPrefixes},
	})
}

// longShare is the share of long prompts at a time: it swings between the low
// and the high end.
func (s *scenario) longShare(t float64) float64 {
	half := math.Mod(t, 2*s.period)
	up := min(1, half/s.ramp)
	if half >= s.period {
		up = 1 - min(1, (half-s.period)/s.ramp)
	}
	return s.low + (s.high-s.low)*up
}

// Sizes of requests, tokens.
const (
	longPrompt, longOutput   = 3600, 90
	shortPrompt, shortOutput = 350, 260
)

// prefixSpread is the usual spread of an organisation's prefixes.
const prefixSpread = 8

// workOf is the work of a request, in engine-seconds.
func (s *scenario) workOf(prompt, output float64) float64 {
	return prompt/s.prefillRate() + output/decodeRate
}

// trace draws the requests of a scenario.
func trace(d *deployment, s *scenario, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 0x7ace))
	var all []*request
	add := func(r *request) {
		r.gateway = random.IntN(s.gateways)
		all = append(all, r)
	}
	const slice = 0.05 // seconds
	for t := 0.0; t < s.length; t += slice {
		long := s.longShare(t)
		mean := long*s.workOf(s.longTokens(), longOutput) + (1-long)*s.workOf(shortPrompt, shortOutput)
		rate := d.load * s.level / mean
		for range poisson(random, rate*slice) {
			add(draw(random, d, s, pickOrg(random, d), long, t+random.Float64()*slice))
		}
		if s.crowd.holds(t) {
			for range poisson(random, rate*s.crowdBy*slice) {
				add(draw(random, d, s, 2, long, t+random.Float64()*slice))
			}
		}
		for range poisson(random, d.calls*slice) {
			r := draw(random, d, s, pickOrg(random, d), 0, t+random.Float64()*slice)
			r.service, r.prompt, r.output, r.left, r.stable, r.affinity = true, 0, 1, 1, true, 0
			add(r)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// pickOrg draws an organisation by its share.
func pickOrg(random *rand.Rand, d *deployment) int {
	x := random.Float64()
	for i, o := range d.orgs {
		if x < o.share {
			return i
		}
		x -= o.share
	}
	return len(d.orgs) - 1
}

// draw draws the size and prefix of a request.
func draw(random *rand.Rand, d *deployment, s *scenario, org int, long, t float64) *request {
	prompt, output := float64(shortPrompt), shortOutput
	if random.Float64() < long {
		prompt, output = s.longTokens(), longOutput
	}
	length := int(prompt * (0.5 + random.Float64()))
	output = int(float64(output) * (0.5 + random.Float64()))
	prefix := int(math.Abs(random.NormFloat64()) * s.prefixes())
	return &request{
		at: int64(t * float64(time.Second)), org: org, prompt: length, output: output,
		left: float64(output), affinity: uint64(org+1)<<32 | uint64(prefix+1)*2654435761&0xffffffff,
		stable: d.orgs[org].stable,
	}
}

// poisson draws a Poisson number with a small mean.
func poisson(random *rand.Rand, mean float64) int {
	limit, n, p := math.Exp(-mean), 0, 1.0
	for {
		p *= random.Float64()
		if p < limit {
			return n
		}
		n++
	}
}

// prices are what targets cost an hour, in reserved targets.
var prices = map[target.Class]float64{
	target.Reserved: 1, target.OnDemand: 1.6, target.Reclaimable: 0.4,
}
