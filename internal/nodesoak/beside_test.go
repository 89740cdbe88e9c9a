package nodesoak

import (
	"archive/tar"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
)

var besideFlag = flag.String("nodesoak.beside", "", "path of an older zinnia-node for TestOldBuildBesideNew; empty: built from the commit that deploy/system.toml names")

// ciBeside are the seeds of TestOldBuildBesideNew that CI runs.
var ciBeside = []uint64{4601}

// programSince is the program that a node runs from a time on.
type programSince struct {
	at      time.Time
	program string
}

// TestOldBuildBesideNew replaces nodes of the landed build by ones of this build, one by one, while software versions
// of the engines are released, and half of them back. Callers take streams up across both. Runs with more seconds go on
// with more replacements, kills and disturbances:
//
//	go test ./internal/nodesoak -run TestOldBuildBesideNew -nodesoak.seed 4601 -nodesoak.pairs 10 -nodesoak.seconds 40 -v
func TestOldBuildBesideNew(t *testing.T) {
	t.Parallel()
	older := *besideFlag
	if older == "" {
		older = buildLanded(t)
	}
	runSeeds(t, ciBeside, func(t *testing.T, program string, seed uint64) { runBeside(t, older, program, seed) })
}

// production matches the line of deploy/system.toml that names the landed build.
var production = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// buildLanded builds the landed build from the repository's history and returns the path of its program.
func buildLanded(t *testing.T) string {
	const root = "../.."
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	named := production.FindSubmatch(deploy)
	if named == nil {
		t.Fatal("deploy/system.toml names no commit under production")
	}
	commit := string(named[1])
	var problem bytes.Buffer
	archive := exec.Command("git", "-C", root, "archive", "--format=tar", commit)
	archive.Stderr = &problem
	data, err := archive.Output()
	if err != nil {
		t.Fatalf("cannot build the landed build: commit %s is not in the repository's history, which must be whole (no shallow clone): %v: %s", commit, err, problem.String())
	}
	folder := t.TempDir()
	if err := unpack(folder, data); err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(t.TempDir(), "zinnia-node-landed")
	build := exec.Command("go", "build", "-trimpath", "-buildvcs=false", "-o", program, "./cmd/zinnia-node")
	build.Dir = folder
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("cannot build the landed build: %v: %s", err, out)
	}
	return program
}

// unpack unpacks the regular files of an archive.
func unpack(folder string, data []byte) error {
	for r := tar.NewReader(bytes.NewReader(data)); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg {
			continue
		}
		path := filepath.Join(folder, filepath.FromSlash(h.Name))
		content, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, content, 0o600)); err != nil {
			return err
		}
	}
}

// runBeside runs one seed.
func runBeside(t *testing.T, older, program string, seed uint64) {
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	v := newVersionRun(newDeployment(t, older, folder, seed))
	v.older, v.programs = older, make(map[string][]programSince)
	for _, p := range v.nodes {
		v.programs[p.name] = []programSince{{v.begun, older}}
	}
	for _, s := range v.engines {
		breakSome(s)
	}
	calm := v.onStart
	v.onStart = func(s *prepared.Target) { calm(s); breakSome(s) }
	time.Sleep(500 * time.Millisecond)
	endCallers := v.call(seed)
	begun := time.Now()
	v.replaceAll(program, len(v.nodes))
	v.replaceAll(older, len(v.nodes)/2)
	for time.Since(begun) < time.Duration(*secondsFlag)*time.Second {
		v.disturbMixed(program)
	}
	v.endFaults()
	v.quietFrom = time.Now()
	time.Sleep(2 * time.Second)
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	v.judge()
	if toNew, toOlder := v.takenAcross(); toNew == 0 || toOlder == 0 {
		t.Errorf("%d streams of the older build were taken up at this one, %d the other way", toNew, toOlder)
	} else {
		t.Logf("%d streams of the older build were taken up at this one, %d the other way", toNew, toOlder)
	}
}

// takenAcross returns how many streams that began at one build were taken up at the other.
func (v *versionRun) takenAcross() (toNew, toOlder int) {
	begun := make(map[string]bool) // at the older build
	for i := range v.attempts.all {
		r := &v.attempts.all[i]
		fromOlder, taken := begun[r.Resumes]
		switch {
		case r.Resumes == "":
			begun[r.ID] = v.atOlder(r)
		case taken && fromOlder && !v.atOlder(r):
			toNew++
		case taken && !fromOlder && v.atOlder(r):
			toOlder++
		}
	}
	return toNew, toOlder
}

// besideBroken is the share of streams that engines break off beside an upgrade.
const besideBroken = 0.3

// breakSome makes an engine break off some of its streams.
func breakSome(s *prepared.Target) {
	s.Change(func(c *prepared.TargetSwitches) {
		c.Shares = map[prepared.Fault]float64{prepared.BrokenStream: besideBroken}
	})
}

// replaceAll replaces the program of some nodes, one after the other, in the middle of a release.
func (v *versionRun) replaceAll(program string, count int) {
	for i, p := range v.some(count) {
		switch i {
		case 0:
			v.startVersion(1)
			v.writeAsNewer()
		case count / 2:
			v.startMore(versionEngines - 1)
		case count - 1:
			v.drain()
			v.writeAsNewer()
		}
		v.replace(p, program, syscall.SIGTERM)
	}
}

const (
	// endTime bounds the time that a node takes to end after SIGTERM, startTime the time until it is ready.
	endTime, startTime = 9 * time.Second, 5 * time.Second
)

// replace ends a node by a signal and starts it with a program.
func (v *versionRun) replace(p *process, program string, s syscall.Signal) {
	build := "this build"
	if program == v.older {
		build = "the older build"
	}
	v.note("%s: %v, then %s", p.name, s, build)
	v.signal(p, s)
	if !p.waitEnded(endTime) {
		v.t.Errorf("%s has not ended %v after %v", p.name, endTime, s)
		return
	}
	p.setProgram(program)
	v.programs[p.name] = append(v.programs[p.name], programSince{time.Now(), program})
	if err := p.start(); err != nil {
		v.t.Fatal(err)
	}
	for begun := time.Now(); !p.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > startTime {
			v.note("%s is not ready after %v", p.name, startTime)
			return // the store is disturbed, perhaps; endFaults judges
		}
	}
}

// disturbMixed does one thing to nodes of both builds.
func (v *versionRun) disturbMixed(program string) {
	node, other := v.nodes[v.random.IntN(len(v.nodes))], []string{v.older, program}[v.random.IntN(2)]
	switch v.random.IntN(6) {
	case 0:
		v.replace(node, other, syscall.SIGTERM)
	case 1:
		v.replace(node, other, syscall.SIGKILL)
	case 2:
		v.killInRelease(v.drawRound(), v.some(1+v.random.IntN(len(v.nodes))), 0)
	case 3:
		v.replaceAll(other, len(v.nodes))
	case 4:
		v.disturbBeside()
		time.Sleep(v.faultTime())
	case 5:
		v.writeAsNewer()
		time.Sleep(v.faultTime())
	}
	v.retire()
}

// newerKinds are kinds of objects that only a newer build writes.
var newerKinds = []string{"zinnia-later", "zinnia-versions-later", "zinnia-streams-later"}

// systemKinds are the kinds that builds of the system write, and newerFields what a newer one adds to their objects.
var (
	systemKinds = []string{"zinnia-hosts", "zinnia-versions", "zinnia-streams"}
	newerFields = json.RawMessage(`{"since":1,"of":["a",null,{"b":1.5e300}]}`)
)

// writeAsNewer writes to the store as a build newer than both would: kinds that neither knows, and more fields in the
// objects of those that they know.
func (v *versionRun) writeAsNewer() {
	v.note("objects of a newer build")
	for i, kind := range newerKinds {
		v.store.Write(kind, fmt.Sprint("h", i), newerFields)
	}
	for _, kind := range systemKinds {
		v.store.Edit(kind, func(_ string, spec json.RawMessage) json.RawMessage { return withNewerFields(spec) })
	}
}

// withNewerFields adds a field to an object and to the objects in lists within it.
func withNewerFields(raw json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil || fields == nil {
		return raw
	}
	for name, value := range fields {
		var list []json.RawMessage
		if json.Unmarshal(value, &list) != nil || len(list) == 0 {
			continue
		}
		for i := range list {
			list[i] = withNewerFields(list[i])
		}
		fields[name], _ = json.Marshal(list) // raw JSON can be encoded
	}
	fields["Later"] = newerFields
	next, _ := json.Marshal(fields)
	return next
}

// programAt returns the program that a node ran at a time.
func (v *versionRun) programAt(host string, at time.Time) string {
	program := ""
	for _, s := range v.programs[host] {
		if !s.at.After(at) {
			program = s.program
		}
	}
	return program
}

// atOlder tells whether a request was sent to a node of the older build.
func (v *versionRun) atOlder(r *verdict.Request) bool {
	return v.older != "" && v.programAt(r.Host, r.Sent) == v.older
}

// byOlder tells whether a request with an id was sent to a node of the older build.
func (v *versionRun) byOlder(id string) bool {
	i := slices.IndexFunc(v.attempts.all, func(r verdict.Request) bool { return r.ID == id })
	return i >= 0 && v.atOlder(&v.attempts.all[i])
}

// withoutOlder returns a run without the streams that were taken up at nodes of the older build.
func (v *versionRun) withoutOlder(run verdict.Run) verdict.Run {
	if v.older == "" {
		return run
	}
	left := make(map[string]bool)
	for i := range run.Requests {
		if r := &run.Requests[i]; r.Resumes != "" && v.atOlder(r) {
			left[r.Resumes] = true
		}
	}
	run.Requests = slices.DeleteFunc(slices.Clone(run.Requests), func(r verdict.Request) bool { return left[r.ID] || left[r.Resumes] })
	return run
}
