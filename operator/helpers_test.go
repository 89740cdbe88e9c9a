package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/controller"
	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/store"
)

// testDocument is the configuration at the start of each test.
const testDocument = `{
  "fleet": {
    "zones": [{"name": "riga-a", "region": "baltic"}],
    "models": [{"name": "assistant", "pool": "assistant"}],
    "services": [],
    "pools": [{"name": "assistant"}]
  },
  "contracts": [
    {"organisation": "acme", "keys": [], "models": ["assistant"], "services": [],
     "limits": {"requests_per_second": 10, "concurrency": 5}, "prices": {"prompt_micros_per_1000": 0, "output_micros_per_1000": 0, "call_micros": 0}},
    {"organisation": "bakery", "keys": [], "models": ["assistant"], "services": [],
     "limits": {"requests_per_second": 10, "concurrency": 5}, "prices": {"prompt_micros_per_1000": 0, "output_micros_per_1000": 0, "call_micros": 0}}
  ]
}`

// fakeStatus implements StatusReader with fixed documents by topic and fixed replies.
type fakeStatus struct {
	documents map[string]any
	replies   []Reply
}

// Status implements StatusReader.
func (f *fakeStatus) Status(_ context.Context, topic, _ string) ([]byte, error) {
	document, ok := f.documents[topic]
	if !ok {
		return nil, result.New(result.NoSuchTopic, "no topic %q", topic)
	}
	return json.Marshal(document)
}

// StatusOfAll implements StatusReader.
func (f *fakeStatus) StatusOfAll(context.Context, string, string) []Reply {
	return f.replies
}

// testCLI runs command lines of the operator tool against an object store in memory.
type testCLI struct {
	*is.I
	t        *testing.T
	objects  *objects.Store
	store    store.Store // the store that commands use: objects, or a wrapper of it
	status   *fakeStatus // status of the controllers
	settings string      // path of the settings file
	author   string      // recorded as the author of changes
}

// newTestCLI returns a testCLI in which testDocument is accepted as revision 1.
func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	o := objects.New()
	cli := &testCLI{I: is.New(t), t: t, objects: o, store: o, status: &fakeStatus{documents: map[string]any{}}, author: "olga"}
	cli.settings = cli.file("zinniactl.json", `{"name":"olga","objects":"http://127.0.0.1:1","controllers":["127.0.0.1:2"],"tls":{"plaintext":true}}`)
	cli.ok("config", "apply", cli.file("document.json", testDocument))
	return cli
}

// file writes a file and returns its path.
func (cli *testCLI) file(name, content string) string {
	path := filepath.Join(cli.t.TempDir(), name)
	cli.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// connect implements Connect.
func (cli *testCLI) connect(*settings.Operator) (*Backend, error) {
	return &Backend{Store: cli.store, Status: cli.status, Author: cli.author, Timeout: time.Second, Close: func() {}}, nil
}

// run runs a command line and returns the exit code and what it prints.
func (cli *testCLI) run(args ...string) (exit int, out, errOut string) {
	var o, e bytes.Buffer
	exit = Main(append([]string{"--settings", cli.settings}, args...), &o, &e, cli.connect)
	return exit, o.String(), e.String()
}

// ok runs a command line that must succeed and returns what it prints.
func (cli *testCLI) ok(args ...string) string {
	cli.t.Helper()
	exit, out, errOut := cli.run(args...)
	if exit != 0 {
		cli.t.Fatalf("%v: exit %d: %s", args, exit, errOut)
	}
	return out
}

// fails runs a command line with --json that must fail with the code. It returns the error
// that is printed, which is the last JSON document on standard error.
func (cli *testCLI) fails(code result.Code, args ...string) failure {
	cli.t.Helper()
	exit, _, errOut := cli.run(append([]string{"--json"}, args...)...)
	var f failure
	decoder := json.NewDecoder(strings.NewReader(errOut))
	for decoder.More() {
		f = failure{}
		if err := decoder.Decode(&f); err != nil {
			cli.t.Fatalf("%v: not JSON: %s", args, errOut)
		}
	}
	if f.Code != int(code) || exit != code.Definition().Exit {
		cli.t.Fatalf("%v: exit %d, %+v; want %d", args, exit, f, code)
	}
	return f
}

// decode runs a command line with --json and decodes its output.
func decode[T any](cli *testCLI, args ...string) T {
	cli.t.Helper()
	var value T
	cli.NoErr(json.Unmarshal([]byte(cli.ok(append([]string{"--json"}, args...)...)), &value))
	return value
}

// setRevisionInForce makes every process report that a revision is in force.
func (cli *testCLI) setRevisionInForce(revision uint64) {
	cli.status.documents[controller.TopicMembers] = []controller.MemberStatus{
		{Host: "host-1", Role: "gateway", Revision: revision},
		{Host: "host-2", Role: "controller", Revision: revision},
	}
}

// conflictingStore is a store that calls beforePut just before the first update of a key,
// so that another operator's update comes first.
type conflictingStore struct {
	store.Store
	key       string // object whose first update is preceded
	beforePut func()
}

// Put implements store.Store.
func (s *conflictingStore) Put(ctx context.Context, p store.Purpose, key string, value []byte, v store.Version) (store.Version, error) {
	if beforePut := s.beforePut; beforePut != nil && key == s.key {
		s.beforePut = nil
		beforePut()
	}
	return s.Store.Put(ctx, p, key, value, v)
}

// runBeforeNextAccept makes another operator run a command just before the next update of
// the root object, so that the change under test conflicts with it.
func (cli *testCLI) runBeforeNextAccept(args ...string) {
	cli.store = &conflictingStore{Store: cli.objects, key: "config/root", beforePut: func() {
		other := *cli
		other.store, other.author = cli.objects, "peter"
		other.ok(args...)
	}}
}
