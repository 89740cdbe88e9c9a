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
	store    store.Store
	status   *fakeStatus
	settings string
	author   string
}

// newTestCLI returns a testCLI in which testDocument is accepted as revision 1.
func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	o := objects.New()
	r := &testCLI{I: is.New(t), t: t, objects: o, store: o, status: &fakeStatus{documents: map[string]any{}}, author: "olga"}
	r.settings = r.file("zinniactl.json", `{"name":"olga","objects":"http://127.0.0.1:1","controllers":["127.0.0.1:2"],"tls":{"plaintext":true}}`)
	r.ok("config", "apply", r.file("document.json", testDocument))
	return r
}

// file writes a file and returns its path.
func (r *testCLI) file(name, content string) string {
	path := filepath.Join(r.t.TempDir(), name)
	r.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// connect implements Connect.
func (r *testCLI) connect(*settings.Operator) (*Backend, error) {
	return &Backend{Store: r.store, Status: r.status, Author: r.author, Timeout: time.Second, Close: func() {}}, nil
}

// run runs a command line and returns the exit code and what it prints.
func (r *testCLI) run(args ...string) (exit int, out, errOut string) {
	var o, e bytes.Buffer
	exit = Main(append([]string{"--settings", r.settings}, args...), &o, &e, r.connect)
	return exit, o.String(), e.String()
}

// ok runs a command line that must succeed and returns what it prints.
func (r *testCLI) ok(args ...string) string {
	r.t.Helper()
	exit, out, errOut := r.run(args...)
	if exit != 0 {
		r.t.Fatalf("%v: exit %d: %s", args, exit, errOut)
	}
	return out
}

// fails runs a command line with --json that must fail with the code. It returns the error
// that is printed, which is the last JSON document on standard error.
func (r *testCLI) fails(code result.Code, args ...string) failure {
	r.t.Helper()
	exit, _, errOut := r.run(append([]string{"--json"}, args...)...)
	var f failure
	decoder := json.NewDecoder(strings.NewReader(errOut))
	for decoder.More() {
		f = failure{}
		if err := decoder.Decode(&f); err != nil {
			r.t.Fatalf("%v: not JSON: %s", args, errOut)
		}
	}
	if f.Code != int(code) || exit != code.Definition().Exit {
		r.t.Fatalf("%v: exit %d, %+v; want %d", args, exit, f, code)
	}
	return f
}

// decode runs a command line with --json and decodes its output.
func decode[T any](r *testCLI, args ...string) T {
	r.t.Helper()
	var value T
	r.NoErr(json.Unmarshal([]byte(r.ok(append([]string{"--json"}, args...)...)), &value))
	return value
}

// setRevisionInForce makes every process report that a revision is in force.
func (r *testCLI) setRevisionInForce(revision uint64) {
	r.status.documents[controller.TopicMembers] = []controller.MemberStatus{
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
func (r *testCLI) runBeforeNextAccept(args ...string) {
	r.store = &conflictingStore{Store: r.objects, key: "config/root", beforePut: func() {
		other := *r
		other.store, other.author = r.objects, "peter"
		other.ok(args...)
	}}
}
