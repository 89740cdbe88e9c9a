package membership

import (
	"sort"
	"time"

	"zinniapin/machine"
)

// UnreachableTimeout is how long after its last beat a process that is not live
// may still be running, as far as this process can tell. After that it counts as
// ended.
const UnreachableTimeout = 90 * time.Second

// UnreachableMembers returns the records of processes with the role that are not
// live but may still be running: their last beat is at most UnreachableTimeout
// old, they have not announced that they leave, and no other incarnation of the
// role is live on their host. Of one that a peer gave out as failed this process
// does not know the age of the last beat, and takes it for the time since.
func (t *Table) UnreachableMembers(now time.Time, role machine.Role) []Member {
	live := map[hostRole]bool{}
	for _, m := range t.Members(now) {
		live[hostRole{m.Process.Host, m.Process.Role}] = true
	}
	var unreachable []Member
	for _, e := range t.entries {
		lastHeard := e.lastBeat
		if !e.silentAt.IsZero() {
			lastHeard = e.silentAt
		}
		mayRun := e.Process.Role == role && !e.Leaving && now.Sub(lastHeard) <= UnreachableTimeout
		if mayRun && !live[hostRole{e.Process.Host, role}] {
			unreachable = append(unreachable, e.Member)
		}
	}
	sort.Slice(unreachable, func(i, j int) bool { return before(&unreachable[i], &unreachable[j]) })
	return unreachable
}
