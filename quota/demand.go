package quota

import (
	"time"

	"zinniapin/ratelimit"
)

const (
	// demandSpan is the time constant of the averages of demand.
	demandSpan = time.Second
	// aheadTime is the demand that a host keeps units for, beside one mean request.
	aheadTime = 150 * time.Millisecond
)

// demand is the recent demand of an organisation at this host.
type demand struct {
	units, requests ratelimit.Average
}

// add counts an admitted request.
func (d *demand) add(now Instant, units int64) {
	d.units.Add(now.time(), float64(units), demandSpan)
	d.requests.Add(now.time(), 1, demandSpan)
}

// idle tells whether there was hardly a request lately.
func (d *demand) idle(now Instant) bool { return d.requests.RateAt(now.time(), demandSpan) < 0.01 }

// ahead returns the units to keep ahead of need: none unless a request is expected before they are void.
func (d *demand) ahead(now Instant, ttl time.Duration) float64 {
	requests, units := d.requests.RateAt(now.time(), demandSpan), d.units.RateAt(now.time(), demandSpan)
	if requests*ttl.Seconds() < 1 {
		return 0
	}
	return min(units*aheadTime.Seconds()+units/requests, units*ttl.Seconds())
}
