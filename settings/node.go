package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"zinniapin/quota"
	"zinniapin/zone"
)

// Node holds the settings of zinnia-node, which forwards requests to targets and
// uses an object API with collections.
type Node struct {
	// Host is the name of the host; a replaced host gets a new one.
	Host string `json:"host"`
	// Zone is the availability zone of the host.
	Zone zone.Name `json:"zone"`
	// Region is the region of the zone.
	Region zone.Region `json:"region"`
	// Listen is the IP:port at which the node accepts requests of callers.
	Listen string `json:"listen"`
	// Ready is the IP:port of the readiness check for the load balancer, and of the
	// metrics.
	Ready string `json:"ready"`
	// Mesh is the IP:port at which the node receives datagrams and links of its
	// peers.
	Mesh string `json:"mesh"`
	// Seeds are the mesh IP:port of some hosts; some of them may be out of date.
	Seeds []string `json:"seeds"`
	// Objects is the IP:port of the platform's object API.
	Objects string `json:"objects"`
	// Orders is the IP:port at which the platform accepts usage reports and orders
	// for targets.
	Orders string `json:"orders"`
	// Duties are the duties that the platform requires of the nodes.
	Duties NodeDuties `json:"duties"`
	// MemoryMB is the memory that the process may use, in MB, at least 48. What
	// others send may take 0.4 of what it is above 24.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of files and sockets that the process may have
	// open, at least 128. It is divided among callers, links, operators and the
	// process's own connections. Default the process's limit of open files.
	Descriptors int `json:"descriptors,omitempty"`
	// LinkMbps is the speed of the host's network link, 0 when it is not known. In a large
	// fleet hosts with fast links pass on the digests of others. Default 0.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Bounds are the limits that the deployment guarantees.
	Bounds NodeBounds `json:"bounds"`
	// Log sets what is logged.
	Log Log `json:"log"`
}

// NodeDuties are the duties that the platform requires of the nodes.
type NodeDuties struct {
	// Usage turns on the reporting of usage. Default false.
	Usage bool `json:"usage,omitempty"`
	// Scaling turns on the ordering of targets. Default false.
	Scaling bool `json:"scaling,omitempty"`
}

// NodeBounds are the limits that a deployment guarantees.
type NodeBounds struct {
	// GraceSeconds is the time from the signal to stop until the process is killed.
	GraceSeconds float64 `json:"grace_seconds"`
	// LeaseMillis is the lease of the holder of the duties: the time within which a
	// former holder may still act, so that no other host takes over before its end.
	LeaseMillis int `json:"lease_ms"`
	// FencesChecked is true if the platform refuses calls of the duties with a
	// stale fencing number. Otherwise the hosts see to it that none arrives, and a new
	// holder waits 3 s before it acts. Default false.
	FencesChecked bool `json:"fences_checked,omitempty"`
	// RetryRatio is the number of retries allowed per request to a service.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of retries of all hosts allowed beyond the ratio.
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindowSeconds is the length of the window in which retries are counted.
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// UsageWindowSeconds is the length of a usage window.
	UsageWindowSeconds float64 `json:"usage_window_seconds"`
	// UsageLateSeconds is the time after the end of a window within which its
	// report is due.
	UsageLateSeconds float64 `json:"usage_late_seconds"`
	// LimitWindowSeconds is the length of the window in which the units of an
	// organisation with a limit are counted, at most 3600. Default 8.
	LimitWindowSeconds float64 `json:"limit_window_seconds,omitempty"`
	// LimitOverage is the share of its limit by which an organisation may exceed it
	// in a window. With 0 it may not. Default 0.1.
	LimitOverage *float64 `json:"limit_overage,omitempty"`
	// LimitSlack is the number of units by which an organisation may exceed its
	// limit in a window beyond the overage. Default 0.
	LimitSlack float64 `json:"limit_slack,omitempty"`
}

// Bounds of organisations' limits.
const (
	defaultLimitWindowSeconds = 8.0
	defaultLimitOverage       = 0.1
	// maxLimitWindowSeconds bounds the window, so that the units in it fit an int64.
	maxLimitWindowSeconds = 3600
)

// Limits returns the bounds of organisations' limits, with the defaults of those that are not set.
func (b *NodeBounds) Limits() quota.Bounds {
	seconds, overage := b.LimitWindowSeconds, defaultLimitOverage
	if seconds == 0 {
		seconds = defaultLimitWindowSeconds
	}
	if b.LimitOverage != nil {
		overage = *b.LimitOverage
	}
	return quota.Bounds{Window: time.Duration(seconds * float64(time.Second)), Overage: overage, Slack: b.LimitSlack}
}

// Check records every mistake in the settings.
func (n *Node) Check(p *Problems) {
	p.Required("host", n.Host)
	p.Required("zone", string(n.Zone))
	p.Address("listen", n.Listen)
	p.Address("ready", n.Ready)
	p.Address("mesh", n.Mesh)
	p.Address("objects", n.Objects)
	for i, address := range n.Seeds {
		p.Address(fmt.Sprintf("seeds[%d]", i), address)
	}
	if n.Duties.Usage || n.Duties.Scaling {
		p.Address("orders", n.Orders)
	}
	positive := func(path string, value float64) {
		if value <= 0 {
			p.Add(path, "must be above 0")
		}
	}
	checkMemory(p, &n.MemoryMB, 0)
	checkDescriptors(p, n.Descriptors)
	positive("bounds.grace_seconds", n.Bounds.GraceSeconds)
	positive("bounds.lease_ms", float64(n.Bounds.LeaseMillis))
	positive("bounds.retry_window_seconds", n.Bounds.RetryWindowSeconds)
	positive("bounds.usage_window_seconds", n.Bounds.UsageWindowSeconds)
	positive("bounds.usage_late_seconds", n.Bounds.UsageLateSeconds)
	if n.LinkMbps < 0 {
		p.Add("link_mbps", "must not be below 0")
	}
	if n.Bounds.RetryRatio < 0 || n.Bounds.RetrySlack < 0 {
		p.Add("bounds.retry_ratio", "must not be below 0, nor bounds.retry_slack")
	}
	if w := n.Bounds.LimitWindowSeconds; w < 0 || w > maxLimitWindowSeconds {
		p.Add("bounds.limit_window_seconds", "must be above 0 and at most %d", maxLimitWindowSeconds)
	}
	if n.Bounds.LimitOverage != nil && *n.Bounds.LimitOverage < 0 {
		p.Add("bounds.limit_overage", "must not be below 0")
	}
	if n.Bounds.LimitSlack < 0 {
		p.Add("bounds.limit_slack", "must not be below 0")
	}
	n.Log.check(p)
}

// Differences returns the paths of the fields whose values differ between two
// settings, in the order of the struct's fields.
func (n *Node) Differences(other *Node) []string {
	return differences("", reflect.ValueOf(*n), reflect.ValueOf(*other))
}

// differences returns the paths of the fields whose values differ between two
// structs at a path.
func differences(path string, a, b reflect.Value) []string {
	var paths []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		field := strings.TrimPrefix(path+"."+name, ".")
		switch {
		case a.Field(i).Kind() == reflect.Struct:
			paths = append(paths, differences(field, a.Field(i), b.Field(i))...)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			paths = append(paths, field)
		}
	}
	return paths
}

// Equal reports whether two settings have the same values.
func (n *Node) Equal(other *Node) bool { return reflect.DeepEqual(n, other) }
