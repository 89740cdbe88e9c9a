package settings

import "time"

// Controller holds the settings of zinnia-controller.
type Controller struct {
	Common
	// Links is the IP:port at which the controller accepts links from gateways and
	// other controllers; they must be able to reach it at this address.
	Links string `json:"links"`
	// Seeds are the IP:port of controllers to connect to while no other is known;
	// those of two hosts in each zone are enough.
	Seeds []string `json:"seeds"`
	// ShutdownMillis bounds the graceful shutdown, in milliseconds. Default
	// 15000.
	ShutdownMillis int `json:"shutdown_ms,omitempty"`
	// GCPercent is the garbage collector's target, the growth of the heap in
	// percent between collections; the environment variable GOGC overrides it.
	// Default 50.
	GCPercent int `json:"gc_percent,omitempty"`
}

// defaultGCPercent is below Go's default of 100, to use less memory with many
// organisations.
const defaultGCPercent = 50

// defaultShutdownMillis is the default of ShutdownMillis.
const defaultShutdownMillis = 15_000

// Check records every mistake in the settings and sets the defaults.
func (c *Controller) Check(p *Problems) {
	c.Common.Check(p)
	p.Address("links", c.Links)
	for _, seed := range c.Seeds {
		p.Address("seeds", seed)
	}
	if c.ShutdownMillis == 0 {
		c.ShutdownMillis = defaultShutdownMillis
	}
	if c.ShutdownMillis < 0 {
		p.Add("shutdown_ms", "must not be negative")
	}
	if c.GCPercent == 0 {
		c.GCPercent = defaultGCPercent
	}
	if c.GCPercent < 0 {
		p.Add("gc_percent", "must not be negative")
	}
}

// Shutdown returns the time limit of the graceful shutdown.
func (c *Controller) Shutdown() time.Duration {
	return time.Duration(c.ShutdownMillis) * time.Millisecond
}
