package controller

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/grant"
	"zinniapin/link"
	"zinniapin/result"
	"zinniapin/wire"
)

// Topics of status requests. The reply to each is a JSON document.
const (
	TopicMembers = "members"
	TopicTargets = "targets"
	TopicConfig  = "config"
	TopicGrants  = "grants"
	TopicLinks   = "links"
	// TopicPlans shows the plans of this controller; others may own other pools.
	TopicPlans = "plans"
	// TopicExplain asks a gateway about one request; the argument is the id of
	// the gateway's process, a space, and the id of the request.
	TopicExplain = "explain"
)

// MemberStatus describes one process in the reply to a request with TopicMembers, which is
// an array.
type MemberStatus struct {
	Host           string   `json:"host"`
	Role           string   `json:"role"`
	Incarnation    uint64   `json:"incarnation"`
	Zone           string   `json:"zone"`
	Region         string   `json:"region"`
	Address        string   `json:"address"`
	Revision       uint64   `json:"revision"`
	Leaving        bool     `json:"leaving"`
	StoreReachable bool     `json:"store_reachable"`
	Via            []string `json:"via,omitempty"` // addresses of the controllers that a gateway is linked to
}

// TargetStatus describes one target in the reply to a request with TopicTargets, which is
// an array.
type TargetStatus struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`  // engine or service
	Class         string `json:"class"` // of purchase: reserved, on-demand or reclaimable
	Pool          string `json:"pool"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	Role          string `json:"role"`
	Changing      bool   `json:"changing"` // a role or model change is in progress
	Cordoned      bool   `json:"cordoned"`
	CordonEpoch   uint64 `json:"cordon_epoch"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	PrefillTokens int    `json:"prefill_tokens"`
	ReportAgeMS   int64  `json:"report_age_ms"` // -1: no report yet
}

// ConfigStatus is the reply to a request with TopicConfig.
type ConfigStatus struct {
	Revision          uint64 `json:"revision"`
	ConfirmedRevision uint64 `json:"confirmed_revision"`
	ConfirmedAgeMS    int64  `json:"confirmed_age_ms"` // -1: never confirmed
	Organisations     int    `json:"organisations"`
	StoreReachable    bool   `json:"store_reachable"`
}

// GrantStatus describes one organisation in the reply to a request with TopicGrants, which
// is an array.
type GrantStatus struct {
	Organisation string       `json:"organisation"`
	Held         grant.Amount `json:"held"` // total of the grants in force
}

// LinkStatus is the reply to a request with TopicLinks: the number of links of this
// controller by kind, and the hosts of the controllers that it is linked to.
type LinkStatus struct {
	Gateways  int      `json:"gateways"`
	Peers     int      `json:"peers"`
	Temporary int      `json:"temporary"`
	PeerHosts []string `json:"peer_hosts"`
}

// serveStatus answers a status request with the JSON document for its topic.
func (k *Controller) serveStatus(ctx context.Context, from link.Link, request *wire.StatusRequest) (*wire.Envelope, error) {
	if request.Topic == TopicExplain {
		return k.explain(ctx, from, request)
	}
	document, err := k.Status(request.Topic)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: &wire.StatusReply{Json: raw}}}, nil
}

// Status returns the reply to a request with a topic, to be encoded as JSON, or a
// result.NoSuchTopic error.
func (k *Controller) Status(topic string) (any, error) {
	switch topic {
	case TopicMembers:
		return k.memberStatus(), nil
	case TopicTargets:
		return k.targetStatus(), nil
	case TopicConfig:
		return k.configStatus(), nil
	case TopicGrants:
		return k.grants.status(time.Now()), nil
	case TopicLinks:
		return k.linkStatus(), nil
	case TopicPlans:
		return k.planStatus(), nil
	default:
		return nil, result.New(result.NoSuchTopic, "no topic %q", topic)
	}
}

// memberStatus returns the reply for TopicMembers.
func (k *Controller) memberStatus() []MemberStatus {
	rows := []MemberStatus{}
	for _, m := range k.Members() {
		rows = append(rows, MemberStatus{
			Host:           string(m.Process.Host),
			Role:           string(m.Process.Role),
			Incarnation:    m.Process.Incarnation,
			Zone:           string(m.Process.Zone.Name),
			Region:         string(m.Process.Zone.Region),
			Address:        m.Process.Address,
			Revision:       uint64(m.Revision),
			Leaving:        m.Leaving,
			StoreReachable: m.StoreReachable,
			Via:            m.Via,
		})
	}
	return rows
}

// targetStatus returns the reply for TopicTargets.
func (k *Controller) targetStatus() []TargetStatus {
	now := time.Now()
	rows := []TargetStatus{}
	for _, s := range k.Targets() {
		age := int64(-1)
		if !s.Report.ReceivedAt.IsZero() {
			age = now.Sub(s.Report.ReceivedAt).Milliseconds()
		}
		rows = append(rows, TargetStatus{
			ID:            string(s.Target.ID),
			Kind:          string(s.Target.Kind),
			Class:         string(s.Target.Class),
			Pool:          s.Target.Pool,
			Zone:          string(s.Target.Zone),
			State:         string(s.State),
			Role:          string(s.Report.Role),
			Changing:      s.Report.Changing,
			Cordoned:      s.Cordoned,
			CordonEpoch:   s.CordonEpoch,
			Running:       s.Report.Running,
			Waiting:       s.Report.Waiting,
			PrefillTokens: s.Report.PrefillTokens,
			ReportAgeMS:   age,
		})
	}
	return rows
}

// configStatus returns the reply for TopicConfig.
func (k *Controller) configStatus() ConfigStatus {
	status := ConfigStatus{ConfirmedAgeMS: -1}
	if s := k.replica.Snapshot(); s != nil {
		status.Revision = uint64(s.Revision)
		status.Organisations = len(s.Contracts)
	}
	if c := k.replica.Confirmed(); !c.At.IsZero() {
		status.ConfirmedRevision = uint64(c.Revision)
		status.ConfirmedAgeMS = time.Since(c.At).Milliseconds()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	status.StoreReachable = k.members.Self().StoreReachable
	return status
}

// status returns the reply for TopicGrants.
func (g *grantor) status(now time.Time) []GrantStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	rows := []GrantStatus{}
	for name, entry := range g.organisations {
		rows = append(rows, GrantStatus{name, entry.allocator.Outstanding(now)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Organisation < rows[j].Organisation })
	return rows
}

// linkStatus returns the reply for TopicLinks.
func (k *Controller) linkStatus() LinkStatus {
	status := LinkStatus{PeerHosts: []string{}}
	status.Gateways, status.Peers, status.Temporary = k.links.counts()
	for host := range k.links.linkedHosts() {
		status.PeerHosts = append(status.PeerHosts, string(host))
	}
	sort.Strings(status.PeerHosts)
	return status
}
