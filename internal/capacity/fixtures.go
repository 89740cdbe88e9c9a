package main

import (
	"fmt"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// The design size of a fleet: hosts, targets, organisations, regions, zones and
// models.
const (
	designHosts         = 390
	designTargets       = 720
	designOrganisations = 16_000
	regionCount         = 3
	zoneCount           = 11
	modelCount          = 6
)

// zoneOf returns the zone of the i-th host or target.
func zoneOf(i int) zone.Zone {
	n := i % zoneCount
	return zone.Zone{Name: zone.Name(fmt.Sprintf("zone-%02d", n)), Region: zone.Region(fmt.Sprintf("region-%d", n%regionCount))}
}

// controllerOf returns the controller process of the i-th host. incarnation
// counts its starts from 1, so that a restarted process differs from the one
// before. The Incarnation of the process is unique among all processes.
func controllerOf(i int, incarnation uint64) machine.Process {
	return machine.Process{
		Host:        machine.HostID(fmt.Sprintf("host-%03d", i)),
		Role:        machine.Controller,
		Incarnation: incarnation<<32 | uint64(i)<<4 | 1<<60,
		Zone:        zoneOf(i),
		Address:     fmt.Sprintf("10.20.%d.%d:7000", i/200, i%200+1),
	}
}

// gatewayOf returns the gateway process of the i-th host. incarnation is as in
// controllerOf. The Incarnation of the process is that of the controller plus 1,
// since each process needs one of its own.
func gatewayOf(i int, incarnation uint64) machine.Process {
	p := controllerOf(i, incarnation)
	p.Role = machine.Gateway
	p.Incarnation++
	return p
}

// targetOf returns the i-th target.
func targetOf(i int) target.Target {
	return target.Target{
		ID:          target.ID(fmt.Sprintf("engine-%04d", i)),
		Kind:        target.Engine,
		Class:       target.Reserved,
		Pool:        poolName(i),
		Zone:        zoneOf(i).Name,
		Address:     fmt.Sprintf("10.40.%d.%d:8000", i/200, i%200+1),
		ChecksFence: true,
	}
}

// poolName returns the name of the pool of the i-th model.
func poolName(i int) string {
	return fmt.Sprintf("pool-%d", i%modelCount)
}

// modelName returns the name of the i-th model.
func modelName(i int) string {
	return fmt.Sprintf("model-%d", i%modelCount)
}

// reportOf returns a load report of the i-th target. The load depends on the
// sequence, so that consecutive reports differ.
func reportOf(i int, sequence uint64) target.Report {
	load := int(sequence*7+uint64(i)) % 32
	return target.Report{
		Target:        targetOf(i).ID,
		Boot:          uint64(i)<<40 | 0x5bd1e995,
		Sequence:      sequence,
		ReceivedAt:    time.Now(),
		Role:          target.Mixed,
		Models:        []string{modelName(i)},
		Fence:         3,
		LastOrder:     "order-0000000000000042",
		Running:       load,
		Waiting:       load / 8,
		PrefillTokens: load * 997,
		KVPiecesUsed:  load * 11,
		KVPiecesTotal: 2_000,
		PrefillRate:   40_000,
		DecodeRate:    2_400,
		Capacity:      64,
	}
}

// stateOf returns the state of the i-th target, with its first report.
func stateOf(i int) control.TargetState {
	return control.TargetState{Target: targetOf(i), State: provider.Live, Report: reportOf(i, 1)}
}

// statesOf returns the states of n targets.
func statesOf(n int) []control.TargetState {
	states := make([]control.TargetState, n)
	for i := range states {
		states[i] = stateOf(i)
	}
	return states
}

// hostsOf returns the platform's host list with n targets.
func hostsOf(n int) []provider.Host {
	hosts := make([]provider.Host, n)
	for i := range hosts {
		t := targetOf(i)
		hosts[i] = provider.Host{ID: "target-" + string(t.ID), Zone: t.Zone, State: provider.Live, Target: &t}
	}
	return hosts
}

// organisationName returns the name of the i-th organisation.
func organisationName(i int) string {
	return fmt.Sprintf("organisation-%05d", i)
}

// contractOf returns the contract of the i-th organisation.
func contractOf(i int) *contract.Contract {
	return &contract.Contract{
		Organisation: organisationName(i),
		Keys: []contract.Key{
			{Fingerprint: contract.Fingerprint(fmt.Sprint("key-a-", i)), Label: "assistant"},
			{Fingerprint: contract.Fingerprint(fmt.Sprint("key-b-", i)), Label: "desk"},
		},
		Models:   []string{modelName(i), modelName(i + 1)},
		Services: []string{"desk"},
		Limits:   contract.Limits{RequestsPerSecond: 5, Concurrency: 16, TokensPerMinute: 200_000},
		Prices:   contract.Prices{PromptMicros: 300, OutputMicros: 900, CallMicros: 50},
	}
}

// contractsOf returns n contracts.
func contractsOf(n int) []*contract.Contract {
	contracts := make([]*contract.Contract, n)
	for i := range contracts {
		contracts[i] = contractOf(i)
	}
	return contracts
}

// fleetDescription returns the fleet description of the design size: zones,
// models, pools and a service.
func fleetDescription() contract.Fleet {
	f := contract.Fleet{Services: []contract.Service{{Name: "desk", Routes: []contract.Route{{Method: "POST", Path: "/deposits"}}}}}
	for i := range zoneCount {
		f.Zones = append(f.Zones, zoneOf(i))
	}
	for i := range modelCount {
		f.Models = append(f.Models, contract.Model{Name: modelName(i), Pool: poolName(i)})
		f.Pools = append(f.Pools, contract.Pool{Name: poolName(i)})
	}
	return f
}
