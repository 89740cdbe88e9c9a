package main

import (
	"zinniapin/machine"
	"zinniapin/membership"
)

// meshSizes are the numbers of controllers at which links are counted.
var meshSizes = []int{6, 60, 390}

// measurePeers counts the links that each controller keeps to others.
func measurePeers(r *report) error {
	var opened, kept []point
	for _, n := range meshSizes {
		mean, most := linksOf(n)
		opened = append(opened, point{float64(n), float64(membership.PeerCount(n))})
		kept = append(kept, point{float64(n), mean})
		r.printf("controllers %d: opens %d, keeps %.1f on average, %d at most\n", n, membership.PeerCount(n), mean, most)
	}
	_ = opened
	r.slope("links kept", "links", "controller", kept)
	return nil
}

// linksOf returns the mean and the highest number of links of a controller
// among n, once each has chosen its peers. A link counts at both ends.
func linksOf(n int) (mean float64, most int) {
	members := controllerMembers(n)
	links := make([]map[machine.HostID]bool, n)
	for i := range links {
		links[i] = map[machine.HostID]bool{}
	}
	index := map[machine.HostID]int{}
	for i := range members {
		index[members[i].Process.Host] = i
	}
	for i := range members {
		for _, p := range membership.Peers(members, members[i].Process, uint64(i), nil) {
			links[i][p.Process.Host] = true
			links[index[p.Process.Host]][members[i].Process.Host] = true
		}
	}
	sum := 0
	for _, l := range links {
		sum += len(l)
		most = max(most, len(l))
	}
	return float64(sum) / float64(n), most
}

// controllerMembers returns the records of n controllers.
func controllerMembers(n int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{Process: controllerOf(i, 1), Beat: 1, Settled: true, StoreReachable: true}
	}
	return members
}
