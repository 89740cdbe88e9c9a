package prepared_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// answer is what the store answers, as far as these tests read it.
type answer struct {
	Metadata   prepared.Metadata
	Spec       json.RawMessage
	Status     json.RawMessage
	Items      []prepared.Object `json:"items"`
	HasMore    bool
	CurrentRev uint64
	Events     []struct {
		Object  prepared.Object
		Deleted bool
	} `json:"events"`
}

// call makes a call of the store and returns the status, 0 if there is no answer in time, and the answer.
func call(s *prepared.Store, method, path, body string) (int, answer) {
	var a answer
	request, err := http.NewRequest(method, "http://"+s.Address()+"/objects/"+path, strings.NewReader(body))
	if err != nil {
		return 0, a
	}
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return 0, a
	}
	defer response.Body.Close() //nolint:errcheck // a test
	_ = json.NewDecoder(response.Body).Decode(&a)
	return response.StatusCode, a
}

// newStore starts a store with switches.
func newStore(t *testing.T, switches prepared.StoreSwitches) *prepared.Store {
	s := prepared.NewStore()
	t.Cleanup(s.Close)
	s.Change(func(now *prepared.StoreSwitches) { *now = switches })
	return s
}

// object returns the body of a call that writes a spec under a condition; revision 0 is none.
func object(name string, revision uint64, spec string) string {
	return fmt.Sprintf(`{"Metadata":{"Name":%q,"Revision":%d},"Spec":%s}`, name, revision, spec)
}

// Each call on one object keeps the conditions and status codes of the protocol.
func TestStoreChangesOneObject(t *testing.T) {
	is := is.New(t)
	s := newStore(t, prepared.StoreSwitches{})
	status, _ := call(s, "GET", "own-kind/a", "")
	is.Equal(status, 404)
	status, _ = call(s, "PUT", "own-kind/a", object("a", 0, "1"))
	is.Equal(status, 404)
	status, _ = call(s, "DELETE", "own-kind/a", "")
	is.Equal(status, 404)
	status, a := call(s, "POST", "own-kind", object("a", 0, "1"))
	is.Equal(status, 200)
	is.Equal(a.Metadata.Created, a.Metadata.Revision)
	status, _ = call(s, "POST", "own-kind", object("a", 0, "2"))
	is.Equal(status, 409)
	status, b := call(s, "PUT", "own-kind/a", object("a", a.Metadata.Revision, "2"))
	is.Equal(status, 200)
	is.True(b.Metadata.Revision > a.Metadata.Revision)
	status, c := call(s, "PUT", "own-kind/a", object("a", a.Metadata.Revision, "3"))
	is.Equal(status, 409)
	is.Equal(string(c.Spec), "2") // the object as it is
	status, c = call(s, "PUT", "own-kind/a", object("a", 0, "2"))
	is.Equal(status, 200)
	is.Equal(c.Metadata.Revision, b.Metadata.Revision) // nothing changed
	status, c = call(s, "PUT", "own-kind/a/status", `{"Metadata":{"Name":"a"},"Status":{"x":1}}`)
	is.Equal(status, 200)
	is.Equal(string(c.Spec), "2")
	is.Equal(string(c.Status), `{"x":1}`)
	status, d := call(s, "DELETE", fmt.Sprint("own-kind/a?Revision=", b.Metadata.Revision), "")
	is.Equal(status, 409)
	is.Equal(d.Metadata.Revision, c.Metadata.Revision)
	status, _ = call(s, "DELETE", fmt.Sprint("own-kind/a?Revision=", c.Metadata.Revision), "")
	is.Equal(status, 200)
	is.True(s.Read("own-kind", "a") == nil)
	_, w := call(s, "GET", fmt.Sprint("own-kind?WaitMs=100&Watch=", c.Metadata.Revision), "")
	is.Equal(len(w.Events), 1)
	is.True(w.Events[0].Deleted)
	is.Equal(s.Calls("DELETE", "own-kind"), 3)
	status, _ = call(s, "POST", "own-kind", object("large", 0, `"`+strings.Repeat("x", 1<<20)+`"`))
	is.Equal(status, 413)
}

// An object with finalizers is marked, and removed with the last of them; those of servers at once.
func TestStoreKeepsFinalizers(t *testing.T) {
	is := is.New(t)
	s := newStore(t, prepared.StoreSwitches{})
	call(s, "POST", "own-kind", `{"Metadata":{"Name":"a","Finalizers":["f"]},"Spec":1}`)
	status, a := call(s, "DELETE", "own-kind/a", "")
	is.Equal(status, 200)
	is.True(a.Metadata.Deleting)
	call(s, "PUT", "own-kind/a", `{"Metadata":{"Name":"a"},"Spec":1}`)
	is.True(s.Read("own-kind", "a") == nil)
	call(s, "POST", "servers", `{"Metadata":{"Name":"a","Finalizers":["f"]},"Spec":1}`)
	call(s, "DELETE", "servers/a", "")
	is.True(s.Read("servers", "a") == nil)
}

// Lists come in pages of at most 500 objects or 1 MB.
func TestStoreListsInPages(t *testing.T) {
	is := is.New(t)
	s := newStore(t, prepared.StoreSwitches{})
	for i := range 510 {
		s.Write("many", fmt.Sprintf("%03d", i), i)
	}
	_, a := call(s, "GET", "many", "")
	is.Equal(len(a.Items), 500)
	is.True(a.HasMore)
	_, a = call(s, "GET", "many?after=499", "")
	is.Equal(len(a.Items), 10)
	is.True(!a.HasMore)
	for i := range 3 {
		s.Write("large", fmt.Sprint(i), strings.Repeat("x", 600<<10))
	}
	_, a = call(s, "GET", "large", "")
	is.Equal(len(a.Items), 1)
	is.True(a.HasMore)
}

// Calls beyond a rate get status 429 and change nothing; reads with Serializable have none, and may be old.
func TestStoreLimitsItsRates(t *testing.T) {
	is := is.New(t)
	s := newStore(t, prepared.StoreSwitches{WritesPerS: 3, ReadsPerS: 4})
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	for i := range 5 {
		status, _ := call(s, "POST", "kind", object(fmt.Sprint(i), 0, "1"))
		is.Equal(status == 429, i >= 3)
	}
	for i := range 6 {
		status, _ := call(s, "GET", "kind", "")
		is.Equal(status == 429, i >= 4)
	}
	status, a := call(s, "GET", "kind?Serializable=1", "")
	is.Equal(status, 200)
	is.Equal(len(a.Items), 3)
	is.Equal(s.OverRate(), 4)
	writes, reads := s.MostInASecond()
	is.Equal(writes, 5)
	is.Equal(reads, 6)
	s.Change(func(s *prepared.StoreSwitches) { *s = prepared.StoreSwitches{StaleBy: time.Minute} })
	call(s, "GET", "kind?Serializable=1", "")
	s.Write("kind", "new", 1)
	status, _ = call(s, "GET", "kind/new?Serializable=1", "")
	is.Equal(status, 404)
	status, _ = call(s, "GET", "kind/new", "")
	is.Equal(status, 200)
}

// A change that is carried out late is judged by its condition at that time, removals too.
func TestStoreJudgesLateChangesWhenTheyAreDone(t *testing.T) {
	is := is.New(t)
	s := newStore(t, prepared.StoreSwitches{})
	for _, name := range []string{"kept", "gone"} {
		s.Write("kind", name, 1)
	}
	_, kept := call(s, "GET", "kind/kept", "")
	_, gone := call(s, "GET", "kind/gone", "")
	s.Change(func(s *prepared.StoreSwitches) {
		s.LateShare, s.LateBy, s.LateMost = 1, 500*time.Millisecond, 900*time.Millisecond
	})
	for name, revision := range map[string]uint64{"kept": kept.Metadata.Revision, "gone": gone.Metadata.Revision} {
		status, _ := call(s, "DELETE", fmt.Sprintf("kind/%s?Revision=%d", name, revision), "")
		is.Equal(status, 0)
	}
	s.Write("kind", "kept", 2)
	time.Sleep(time.Second)
	is.Equal(string(s.Read("kind", "kept")), "2")
	is.True(s.Read("kind", "gone") == nil)
}
