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

// workOf is the work of a request, in engine-seconds.
func workOf(prompt, output float64) float64 {
	return prompt/prefillRate + output/decodeRate
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
		mean := long*workOf(longPrompt, longOutput) + (1-long)*workOf(shortPrompt, shortOutput)
		rate := d.load * s.level / mean
		for range poisson(random, rate*slice) {
			add(draw(random, d, pickOrg(random, d), long, t+random.Float64()*slice))
		}
		if s.crowd.holds(t) {
			for range poisson(random, rate*s.crowdBy*slice) {
				add(draw(random, d, 2, long, t+random.Float64()*slice))
			}
		}
		for range poisson(random, d.calls*slice) {
			r := draw(random, d, pickOrg(random, d), 0, t+random.Float64()*slice)
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
func draw(random *rand.Rand, d *deployment, org int, long, t float64) *request {
	prompt, output := shortPrompt, shortOutput
	if random.Float64() < long {
		prompt, output = longPrompt, longOutput
	}
	prompt = int(float64(prompt) * (0.5 + random.Float64()))
	output = int(float64(output) * (0.5 + random.Float64()))
	prefix := int(math.Abs(random.NormFloat64()) * 8)
	return &request{
		at: int64(t * float64(time.Second)), org: org, prompt: prompt, output: output,
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
