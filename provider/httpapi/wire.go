package httpapi

import (
	"time"

	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// Paths of the platform's interfaces, relative to their base URLs.
const (
	OrdersPath  = "/targets/orders"
	ReportsPath = "/usage/reports"
	HostsPath   = "/hosts"
)

// MaxBodyBytes bounds a request or an answer, in bytes.
const MaxBodyBytes = 16 << 20

// TargetOrder is the body of POST OrdersPath.
type TargetOrder struct {
	ID      string       `json:"id"`
	Fence   uint64       `json:"fence"`
	Zone    zone.Name    `json:"zone"`
	Class   target.Class `json:"class"`
	Pool    string       `json:"pool"`
	Count   int          `json:"count"`
	Release target.ID    `json:"release,omitempty"`
}

// TargetOrderResult is the answer to POST OrdersPath and GET OrdersPath/{id}.
type TargetOrderResult struct {
	Accepted int    `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// UsageReports is the body of POST ReportsPath.
type UsageReports struct {
	Author  string        `json:"author"`
	Fence   uint64        `json:"fence"`
	Reports []UsageReport `json:"reports"`
}

// UsageReport is one organisation's usage in one window.
type UsageReport struct {
	Organisation  string    `json:"organisation"`
	Window        time.Time `json:"window"`
	LengthSeconds float64   `json:"length_s"`
	Requests      uint64    `json:"requests"`
	PromptTokens  uint64    `json:"prompt_tokens"`
	OutputTokens  uint64    `json:"output_tokens"`
	Calls         uint64    `json:"calls"`
	Late          uint64    `json:"late"`
}

// Target describes the target that runs on a host.
type Target struct {
	ID          target.ID    `json:"id"`
	Kind        target.Kind  `json:"kind"`
	Class       target.Class `json:"class"`
	Pool        string       `json:"pool"`
	Zone        zone.Name    `json:"zone"`
	Address     string       `json:"address"`
	ChecksFence bool         `json:"checks_fence"`
}

// Host is an element of the answer to GET HostsPath.
type Host struct {
	ID       string             `json:"id"`
	State    provider.HostState `json:"state"`
	Zone     zone.Name          `json:"zone"`
	LeavesAt time.Time          `json:"leaves_at,omitzero"`
	Target   *Target            `json:"target,omitempty"`
}

// Refusal is the body of an answer with a status other than 200.
type Refusal struct {
	// Refused is set if the platform states that the call had no effect.
	Refused bool   `json:"refused"`
	Message string `json:"message,omitempty"`
}

// FromUsageReport converts a report to its wire form.
func FromUsageReport(r provider.UsageReport) UsageReport {
	return UsageReport{
		Organisation: r.Organisation, Window: r.Window, LengthSeconds: r.Length.Seconds(),
		Requests: r.Requests, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Calls: r.Calls, Late: r.Late,
	}
}

// UsageReport converts a report from its wire form.
func (r UsageReport) UsageReport() provider.UsageReport {
	return provider.UsageReport{
		Organisation: r.Organisation, Window: r.Window.UTC(),
		Length:   time.Duration(r.LengthSeconds * float64(time.Second)),
		Requests: r.Requests, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Calls: r.Calls, Late: r.Late,
	}
}

// FromHost converts a host to its wire form.
func FromHost(h provider.Host) Host {
	wire := Host{ID: h.ID, State: h.State, Zone: h.Zone, LeavesAt: h.LeavesAt}
	if h.Target != nil {
		t := Target(*h.Target)
		wire.Target = &t
	}
	return wire
}

// Host converts a host from its wire form.
func (h Host) Host() provider.Host {
	host := provider.Host{ID: h.ID, State: h.State, Zone: h.Zone, LeavesAt: h.LeavesAt}
	if h.Target != nil {
		t := target.Target(*h.Target)
		host.Target = &t
	}
	return host
}
