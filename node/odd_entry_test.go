package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/roster"
	"zinniapin/store"
	"zinniapin/target"
)

// within polls until holds returns true, and returns whether that was before the limit.
func within(limit time.Duration, holds func() bool) bool {
	for started := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > limit {
			return false
		}
	}
	return true
}

// count returns how often the log contains a text, and the length of its longest line.
func (l *logBuffer) count(text string) (times, longest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.SplitSeq(l.text.String(), "\n") {
		longest = max(longest, len(line))
	}
	return strings.Count(l.text.String(), text), longest
}

// A host stopped following the list of targets when one of its entries was odd, and used a target whose
// entry had become odd.
func TestOddEntryCostsOnlyItsTarget(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	other := prepared.NewTarget("i-2")
	t.Cleanup(other.Close)
	odd := prepared.OddEntries(cluster.target.Entry("desk", "a"))
	cluster.store.Write(platform.TargetsCollection, "i-2", other.Entry("desk", "a"))
	for i, e := range odd {
		cluster.store.WriteItem(platform.TargetsCollection, fmt.Sprint("odd-", i), e.Item)
	}
	for _, oddity := range []string{"deep object", "odd finalizers", "odd revision", "two addresses"} {
		i := slices.IndexFunc(odd, func(e prepared.OddEntry) bool { return e.Oddity == oddity })
		cluster.store.WriteItem(platform.TargetsCollection, "i-1", odd[i].Item)
		time.Sleep(time.Second)
		before, failed := len(cluster.target.Arrivals()), 0
		for j := range 30 {
			if n.getWithID(fmt.Sprint(oddity, j), "/read/a", "key-1") != http.StatusOK {
				failed++
			}
		}
		if sent := len(cluster.target.Arrivals()) - before; sent+failed > 0 {
			t.Errorf("%s: %d requests reach the target whose entry is odd, %d of 30 fail", oddity, sent, failed)
		}
		cluster.store.Write(platform.TargetsCollection, "i-1", cluster.target.Entry("desk", "a"))
		if !within(time.Second, func() bool {
			return n.get("/read/a", "key-1") == http.StatusOK && len(cluster.target.Arrivals()) > before
		}) {
			t.Errorf("%s: the target is not used again", oddity)
		}
	}
}

// Each list repeated a line for each odd entry, as long as what was odd in it.
func TestOddEntriesAreLoggedOnce(t *testing.T) {
	cluster := newTestCluster(t)
	for i, e := range prepared.OddEntries(cluster.target.Entry("desk", "a")) {
		if !strings.HasPrefix(e.Oddity, "deep") {
			cluster.store.WriteItem(platform.TargetsCollection, fmt.Sprint("odd-", i), e.Item)
		}
	}
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	first, _ := n.log.count(`"entry_bad"`)
	for range 5 {
		cluster.store.SetDown(true) // the targets are listed again afterwards
		time.Sleep(100 * time.Millisecond)
		cluster.store.SetDown(false)
		time.Sleep(time.Second)
	}
	listed, _ := n.log.count(`"entry_bad"`)
	for i := range 2000 {
		cluster.store.Write(platform.TargetsCollection, fmt.Sprint("many-", i), json.RawMessage(`{"Service":"s"}`))
	}
	time.Sleep(time.Second)
	if times, longest := n.log.count(`"entry_bad"`); first == 0 || listed > first || times > 100 || longest > 2000 {
		t.Errorf("%d lines after the first list, %d after five more, %d after 2000 further entries; the longest has %d bytes", first, listed, times, longest)
	}
}

// A peer that takes an odd entry for a target passed it on.
func TestOddEntryOfAPeerIsLeftOut(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.decodeTarget = func(m store.Member) (roster.Target, error) { // that of an older build
		var wire struct{ Service, Address, Zone string }
		err := json.Unmarshal(m.Value, &wire)
		return roster.Target{ID: target.ID(m.Name), Service: wire.Service, Address: wire.Address, Zone: "a", Slots: 8}, err
	}
	for i, address := range []string{"127.0.0.1:99999", "127.0.0.1:-1", "nowhere.invalid:80", "224.0.0.1:80"} {
		entry := cluster.target.Entry("desk", "a")
		entry["Address"] = address
		cluster.store.Write(platform.TargetsCollection, fmt.Sprint("odd-", i), entry)
	}
	first := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	firstStore := cluster.store
	cluster.decodeTarget, cluster.store = nil, prepared.NewStore()
	cluster.store.SetDown(true)
	t.Cleanup(cluster.store.Close)
	second := cluster.startNode("h2")
	cluster.store = firstStore
	eventually(t, 3*time.Second, "the second is ready", second.ready)
	for i := range 30 {
		if status := second.getWithID(fmt.Sprint("r-", i), "/read/a", "key-1"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if times, _ := second.log.count(`"target":"odd-`); times > 0 {
		t.Errorf("%d attempts at targets of odd entries", times)
	}
}

// A record of the duties that another writer spoiled kept all hosts from the duties for good.
func TestSpoiledRecordOfTheDutiesIsReplaced(t *testing.T) {
	for name, item := range map[string]string{
		"deep":   `{"Metadata":{"Name":"NAME","Revision":REVISION},"Spec":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"text":   `{"Metadata":{"Name":"NAME","Revision":REVISION},"Spec":"none"}`,
		"number": `{"Metadata":{"Name":"NAME","Revision":REVISION},"Spec":{"holder":"h9","fence":1e400}}`,
		"high":   `{"Metadata":{"Name":"NAME","Revision":REVISION},"Spec":{"holder":"h9","fence":18446744073709551615}}`,
		"empty":  `{"Metadata":{"Name":"NAME","Revision":REVISION},"Spec":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.store.WriteItem("zinnia-duties", "holder", item)
			n := cluster.startNode("h1")
			eventually(t, 3*time.Second, "ready", n.ready)
			reported := func(more int) func() bool { // windows without a request are not
				return func() bool {
					_ = n.get("/read/a", "key-1")
					return len(cluster.duties.Calls("/usage")) > more
				}
			}
			if !within(12*time.Second, reported(0)) {
				t.Fatal("no usage is reported")
			}
			before := cluster.duties.Calls("/usage")
			cluster.store.WriteItem("zinnia-duties", "holder", item) // while this host holds them
			if !within(12*time.Second, reported(len(before))) {
				t.Fatal("no usage is reported after the record was spoiled again")
			}
			after := cluster.duties.Calls("/usage")[len(before)]
			if last := before[len(before)-1]; after.Fence <= last.Fence || after.Body["WindowId"].(float64) <= last.Body["WindowId"].(float64) {
				t.Errorf("window %v with fence %d is reported after %v with %d", after.Body["WindowId"], after.Fence, last.Body["WindowId"], last.Fence)
			}
		})
	}
}

// An odd address among those that hosts publish filled the digests, so that hosts lost each other, and a
// spoiled record of its own kept a host from publishing.
func TestOddRecordsOfHosts(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.store.Write("zinnia-hosts", "odd", map[string]string{"address": strings.Repeat("1", 1<<18) + ":80"})
	cluster.store.Write("zinnia-hosts", "h1", "spoiled")
	a, b := cluster.startNode("h1"), cluster.startNode("h2")
	eventually(t, 5*time.Second, "they hear each other", func() bool { return a.log.contains(`"peer_found"`) && b.log.contains(`"peer_found"`) })
	published := within(8*time.Second, func() bool {
		return strings.Contains(string(cluster.store.Read("zinnia-hosts", "h1")), a.settings.Mesh)
	})
	time.Sleep(4 * time.Second)
	lost, _ := a.log.count(`"peer_lost"`)
	if lost > 0 || !published {
		t.Errorf("peers were lost %d times; published: %t", lost, published)
	}
}

// A target with the address of a host made the host send requests to itself.
func TestOddEntryWithTheAddressOfTheHost(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	for i, address := range []string{n.settings.Listen, n.settings.Ready, n.settings.Mesh} {
		entry := cluster.target.Entry("desk", "a")
		entry["Address"] = address
		cluster.store.Write(platform.TargetsCollection, fmt.Sprint("odd-", i), entry)
	}
	eventually(t, 3*time.Second, "ready", n.ready)
	time.Sleep(time.Second)
	for i := range 40 {
		if status := n.getWithID(fmt.Sprint("r-", i), "/read/a", "key-1"); status != http.StatusOK {
			t.Errorf("request %d: status %d", i, status)
		}
	}
	if times, _ := n.log.count(`"name":"request_done"`); times > 40 {
		t.Errorf("%d requests were handled, 40 were sent", times)
	}
}

// Targets were ordered in the availability zone that only an odd entry names.
func TestOddEntryOfAnUnknownZoneGetsNoOrders(t *testing.T) {
	cluster := newTestCluster(t)
	odd := prepared.NewTarget("odd-1")
	t.Cleanup(odd.Close)
	cluster.store.Write(platform.TargetsCollection, "odd-1", odd.Entry("desk", "nowhere"))
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 15*time.Second, "orders", func() bool { return len(cluster.duties.Calls("/scale")) > 2 })
	for _, c := range cluster.duties.Calls("/scale") {
		if c.Body["Zone"] == "nowhere" {
			t.Errorf("ordered %v", c.Body)
		}
	}
}

// An entry with the address of another target costs at most the requests that the target refuses as not its own.
func TestOddEntryWithTheAddressOfAnotherTarget(t *testing.T) {
	cluster := newTestCluster(t)
	for i := range 3 {
		cluster.store.Write(platform.TargetsCollection, fmt.Sprint("odd-", i), cluster.target.Entry("desk", "a"))
	}
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	statuses := make(map[int]int)
	for i := range 60 {
		statuses[n.sendBody(http.MethodPost, fmt.Sprint("r-", i), "/take/a", "key-1", "x", http.Header{})]++
	}
	if statuses[http.StatusOK] < 57 {
		t.Errorf("answers by status %v", statuses)
	}
	t.Log(statuses)
}
