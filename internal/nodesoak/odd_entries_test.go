package nodesoak

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

var oddFlag = flag.String("nodesoak.odd", "", "write the odd entries that match, instead of all")

// oddEntries returns the odd entries to write.
func oddEntries(sound map[string]any) []prepared.OddEntry {
	taken := regexp.MustCompile(*oddFlag)
	return slices.DeleteFunc(prepared.OddEntries(sound), func(o prepared.OddEntry) bool { return !taken.MatchString(o.Oddity) })
}

// writeOdd writes an odd entry among those of the targets or, at times, in place of a host's own.
func (d *deployment) writeOdd() {
	sound := d.targets[d.random.IntN(len(d.targets))]
	all := prepared.OddEntries(sound.Entry(serviceOf(sound), "z0"))
	item := all[d.random.IntN(len(all))].Item
	if d.random.IntN(8) == 0 {
		d.store.WriteItem("zinnia-hosts", d.nodes[d.random.IntN(len(d.nodes))].name, item)
		return
	}
	d.store.WriteItem(platform.TargetsCollection, fmt.Sprint("odd-", d.random.IntN(20)), item)
}

// Another writer leaves odd entries among the targets while targets come and go and a node starts again.
//
//	go test ./internal/nodesoak -run TestOddEntriesBesideReleases -nodesoak.odd 'deep object' -v
func TestOddEntriesBesideReleases(t *testing.T) {
	const seed = 71
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	d := newDeployment(t, nodeProgram(t), folder, seed)
	d.crashPart.Store("")
	endCallers := d.startCallers(seed)
	time.Sleep(time.Second)
	odd := oddEntries(d.engines[0].Entry("model", "z0"))
	for i, o := range odd {
		d.store.WriteItem(platform.TargetsCollection, fmt.Sprint("odd-", i), o.Item)
	}
	t.Logf("%.1f s: %d odd entries", time.Since(d.begun).Seconds(), len(odd))
	for i := range 6 {
		time.Sleep(time.Second)
		d.release()
		switch i {
		case 1:
			d.signal(d.nodes[3], syscall.SIGKILL)
			d.nodes[3].waitEnded(time.Second)
			if err := d.nodes[3].start(); err != nil {
				t.Fatal(err)
			}
		case 3:
			spoiled := d.engines[0]
			for _, o := range oddEntries(spoiled.Entry("model", "z0")) {
				d.store.WriteItem(platform.TargetsCollection, spoiled.ID, o.Item)
				d.leftAt[spoiled.ID] = time.Now()
			}
			d.engines = d.engines[1:]
		}
	}
	d.quietFrom = time.Now()
	time.Sleep(3 * time.Second)
	for _, p := range d.nodes {
		if !p.ready() {
			t.Errorf("%s is not ready", p.name)
		}
	}
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	d.check()
	for _, p := range d.nodes {
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			t.Fatal(err)
		}
		if used := bytes.Count(log, []byte(`"target":"odd-`)); used > 0 {
			t.Errorf("%s names odd entries as targets %d times", p.name, used)
		}
		if len(log) > maxLogBytes {
			t.Errorf("the log of %s has %d bytes", p.name, len(log))
		}
	}
}

// maxLogBytes bounds a node's log of a run.
const maxLogBytes = 1 << 20
