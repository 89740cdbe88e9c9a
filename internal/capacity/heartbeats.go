package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/membership"
	"zinniapin/targetview"
	"zinniapin/wire"
	"zinniapin/zone"
)

// hostSizes are the numbers of hosts at which state by host is measured. Each
// host runs two processes.
var hostSizes = []int{7, 60, 390}

// targetSizes are the numbers of targets at which state by target is measured.
// A region holds about a third of a fleet's targets.
var targetSizes = []int{16, 240, 720}

// tableCalls is the number of calls that an average is taken over.
const tableCalls = 2_000

// replyBytes is the limit that a controller sets for the records of one reply.
const replyBytes = 32 << 10

// measureHeartbeats measures the encoded sizes of heartbeats, and the processor
// time and memory of the tables from which they are built and into which they
// are merged.
func measureHeartbeats(r *report) error {
	measureMembership(r)
	measureTargetView(r)
	measureRecords(r)
	return nil
}

// measureMembership measures the membership table.
func measureMembership(r *report) {
	var heap, since, live, tick, merge, owns, owners []point
	for _, hosts := range hostSizes {
		size := float64(2 * hosts)
		now := time.Now()
		var t *membership.Table
		heap = append(heap, point{size, retainedHeap(func() any { t = fullTable(now, hosts); return t }) / 1e3})
		version := t.Since(0, 0, 1<<30).Version
		since = append(since, point{size, perCall(tableCalls, func(int) { t.Since(version, 1, replyBytes) })})
		live = append(live, point{size, perCall(tableCalls, func(int) { t.Members(now) })})
		tick = append(tick, point{size, perCall(tableCalls, func(int) { t.Tick(now) })})
		beat := uint64(2)
		merge = append(merge, point{size, perCall(tableCalls, func(i int) {
			beat++
			t.Merge(now, 1, &wire.Member{Incarnation: gatewayOf(i%(hosts-1)+1, 1).Incarnation, Beat: beat})
		})})
		controllers := membership.Controllers(t.Members(now), "")
		owners = append(owners, point{size, perCall(tableCalls, func(int) { membership.Owners(controllers, "usage/001", 1) })})
		owns = append(owns, point{size, perCall(tableCalls, func(int) { membership.Owns(controllers, "engine-0001", 2, "host-001") })})
	}
	r.slope("membership table: heap", "kB", "process", heap)
	r.slope("membership: a reply without changes", "us", "process", since)
	r.slope("membership: list of the live", "us", "process", live)
	r.slope("membership: tick", "us", "process", tick)
	r.slope("membership: merge of a heartbeat counter", "us", "process", merge)
	r.slope("membership: owners of a key", "us", "process", owners)
	r.slope("membership: ownership of a key", "us", "process", owns)
}

// fullTable returns a membership table with the controller and the gateway of
// each host.
func fullTable(now time.Time, hosts int) *membership.Table {
	t := membership.New(membership.Member{Process: controllerOf(0, 1)}, now)
	for i := range hosts {
		for _, p := range []membership.Member{{Process: controllerOf(i, 1)}, {Process: gatewayOf(i, 1)}} {
			p.Beat, p.Revision, p.Settled, p.StoreReachable = 1, 1, true, true
			if p.Process.Role == "gateway" {
				p.Via = []string{controllerOf(i, 1).Address, controllerOf(i+1, 1).Address}
			}
			t.Merge(now, 1, p.ToWire())
		}
	}
	return t
}

// measureTargetView measures a controller's view of the targets.
func measureTargetView(r *report) {
	var heap, since, states, reported []point
	for _, n := range targetSizes {
		size := float64(n)
		now := time.Now()
		var t *targetview.Table
		heap = append(heap, point{size, retainedHeap(func() any { t = fullView(now, n); return t }) / 1e3})
		since = append(since, point{size, perCall(tableCalls, func(int) { t.Since(now, t.Version(), 1, replyBytes) })})
		states = append(states, point{size, perCall(tableCalls, func(int) { t.States() })})
		sequence := uint64(1)
		reported = append(reported, point{size, perCall(tableCalls, func(i int) {
			sequence++
			t.ApplyReport(now, reportOf(i%n, sequence))
		})})
	}
	r.slope("view of targets: heap", "kB", "target", heap)
	r.slope("view of targets: a reply without changes", "us", "target", since)
	r.slope("view of targets: list", "us", "target", states)
	r.slope("view of targets: a report", "us", "target", reported)
}

// fullView returns a view with n targets, each with a report.
func fullView(now time.Time, n int) *targetview.Table {
	t := targetview.New()
	t.ApplyList(now, hostsOf(n), func(zone.Name) bool { return true })
	for i := range n {
		t.ApplyReport(now, reportOf(i, 1))
	}
	return t
}

// measureRecords prints the encoded sizes of the records in heartbeats and in
// requests for grants and usage.
func measureRecords(r *report) {
	m := membership.Member{Process: gatewayOf(123, 1), Beat: 40_000, Revision: 90_000, Settled: true, StoreReachable: true}
	m.Via = []string{controllerOf(123, 1).Address, controllerOf(222, 1).Address}
	now := time.Now()
	t := fullView(now, 2)
	full := t.Since(now, 0, 1, replyBytes)
	t.ApplyReport(now.Add(time.Minute), reportOf(0, 70_000))
	compact := t.Since(now.Add(time.Minute), full.Version, 1, replyBytes)
	r.printf("record of a process: %d bytes in full\n", proto.Size(m.ToWire()))
	r.printf("record of a target: %d bytes in full, %d when only its load changed\n", proto.Size(full.Targets[0]), proto.Size(&wire.Heartbeat{Loads: compact.Loads}))
	r.printf("heartbeat without changes: %d bytes\n", proto.Size(heartbeatRequest()))
	r.printf("demand: %d bytes, grant: %d bytes, usage counter: %d bytes\n", proto.Size(demandMessage()), proto.Size(grantMessage()), proto.Size(counterMessage()))
	measureColumns(r)
}

// columnSizes are the numbers of organisations in one request for grants.
var columnSizes = []int{1, 6, 20}

// measureColumns measures the encoded sizes of a request for grants and of its
// reply, both in columnar encoding.
func measureColumns(r *report) {
	var requests, replies []point
	for _, n := range columnSizes {
		var demands []control.Demand
		var grants []*wire.Grant
		for i := range n {
			d := demandMessage()
			d.Organisation = organisationName(i)
			demands = append(demands, d.ToDemand())
			g := grantMessage()
			g.Organisation, g.TermMs = d.Organisation, grant.LongTerm.Milliseconds()
			grants = append(grants, g)
		}
		request := &wire.GrantRequest{Gateway: gatewayOf(123, 1).ID(), Gateways: designHosts, Columns: wire.FromDemands(demands)}
		reply := &wire.GrantReply{Columns: wire.FromGrants(request.Columns.Organisations, grants)}
		requests = append(requests, point{float64(n), float64(proto.Size(&wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}}))})
		replies = append(replies, point{float64(n), float64(proto.Size(&wire.Envelope{Body: &wire.Envelope_GrantReply{GrantReply: reply}}))})
	}
	r.slope("request for grants", "bytes", "organisation", requests)
	r.slope("reply with grants", "bytes", "organisation", replies)
}

// demandMessage returns a demand of typical size.
func demandMessage() *wire.Demand {
	return &wire.Demand{Organisation: organisationName(12_345), RequestsPerSecond: 0.4711, Concurrency: 2, TokensPerMinute: 5432.1}
}

// grantMessage returns a grant of typical size.
func grantMessage() *wire.Grant {
	return &wire.Grant{Organisation: organisationName(12_345), ConfigRevision: 90_000, RequestsPerSecond: 0.4711, Concurrency: 2, TokensPerMinute: 5432.1, TermMs: 3_000}
}

// counterMessage returns a usage counter of typical size.
func counterMessage() *wire.UsageCounter {
	return &wire.UsageCounter{Gateway: gatewayOf(123, 1).ID(), Organisation: organisationName(12_345),
		WindowMs: 1_796_256_000_000, Requests: 31, PromptTokens: 40_000, OutputTokens: 7_000, Calls: 2}
}
