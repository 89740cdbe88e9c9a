package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/claim"
	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/controller"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/objects"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/uplink"
)

// hostList is a list of hosts that tests change.
type hostList struct {
	mu   sync.Mutex
	list []provider.Host
}

func (h *hostList) List(context.Context) ([]provider.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]provider.Host(nil), h.list...), nil
}

// joinedFleet is a fleet of gateways and controllers in virtual time.
type joinedFleet struct {
	objects  *objects.Store
	engines  *engine.Direct
	fabric   *memlink.Fabric
	hosts    *hostList
	gateways []*Gateway
}

// hostName returns the id of a host.
func hostName(i int) machine.HostID { return machine.HostID(fmt.Sprintf("host-%d", i)) }

// newJoined starts n hosts in front of two engines and accepts a
// configuration.
func newJoined(t *testing.T, n int) *joinedFleet {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	t.Cleanup(func() { cancel(); loops.Wait() })
	j := &joinedFleet{objects: objects.New(), engines: engine.NewDirect(), fabric: memlink.NewFabric(), hosts: &hostList{}}
	for i, name := range []string{"e1", "e2"} {
		j.engines.Add(name, engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}})
		x := target.Target{ID: target.ID(name), Kind: target.Engine, Class: target.Reserved, Pool: "p", Zone: home.Name, Address: name}
		j.hosts.list = append(j.hosts.list, provider.Host{ID: "h-" + name, State: provider.Live, Zone: home.Name, Target: &x})
	}
	log := zerolog.Nop()
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }
	for i := range n {
		self := machine.Process{Host: hostName(i), Role: machine.Controller, Incarnation: uint64(i + 1), Zone: home, Address: address(i)}
		k := controller.New(controller.Config{Self: self, Seeds: []string{address(0), address(1)}, Network: j.fabric.Network(self),
			Store: j.objects, Hosts: j.hosts, Orders: j.engines, Seed: 1, Log: &log})
		loops.Go(func() { _ = k.Run(ctx) })
		self = machine.Process{Host: hostName(i), Role: machine.Gateway, Incarnation: uint64(100 + i), Zone: home}
		u := uplink.New(uplink.Config{Self: self, LocalController: address(i), Seeds: []string{address((i + 1) % n)}, Network: j.fabric.Network(self), Log: &log})
		s := testSettings()
		s.ControllerLossMillis, s.MaxConfirmationAgeMillis = 5000, 12_000
		g, err := New(Options{Process: self, Settings: s, ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes),
			Engines: j.engines, Claims: claim.NewStoreRegistry(j.objects, claim.Options{}), Uplink: u, Log: log, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		j.gateways = append(j.gateways, g)
		loops.Go(func() { _ = u.Run(ctx, g) })
		loops.Go(func() { g.maintain(ctx) })
	}
	j.accept(t, 0, nil)
	return j
}

// accept accepts the configuration of snapshot with a change.
func (j *joinedFleet) accept(t *testing.T, base contract.Revision, change func(k, other *contract.Contract)) {
	s := snapshot(base+1, change)
	p := configuration.Proposal{ID: fmt.Sprint("change-", base), Base: base, Fleet: &s.Fleet}
	for _, k := range s.Contracts {
		p.Contracts = append(p.Contracts, k)
	}
	if _, err := configuration.Accept(context.Background(), j.objects, p, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// cutOff cuts a host's processes off all others and off each other, or joins
// them again.
func (j *joinedFleet) cutOff(host int, cut bool) {
	for i := range j.gateways {
		j.fabric.SetCut(hostName(host), hostName(i), cut)
	}
}

// ask sends a chat request to a gateway and returns status and body.
func (j *joinedFleet) ask(i int, key string) (int, string) {
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatRequest("joined", false)))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	j.gateways[i].ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// within waits in virtual time until a condition holds.
func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > d {
			t.Fatalf("%s: not within %v", what, d)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%s after %v", what, time.Since(began))
}

// everyAnswer tells whether every gateway answers a key with a status.
func (j *joinedFleet) everyAnswer(key string, status int) bool {
	for i := range j.gateways {
		if got, _ := j.ask(i, key); got != status {
			return false
		}
	}
	return true
}

// TestJoined runs gateways with their controllers: a first configuration, a
// withdrawn key, an engine that leaves, an outage of the object API and a
// host that is cut off.
func TestJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := newJoined(t, 5)
		within(t, 14*time.Second, "served everywhere", func() bool { return j.everyAnswer(testKey, 200) && j.everyAnswer(otherKey, 200) })
		want, _ := wholeText("joined")
		_, body := j.ask(3, testKey)
		is.True(strings.Contains(body, want))

		j.accept(t, 1, func(k, _ *contract.Contract) { k.Keys[0].Withdrawn = true })
		within(t, 14*time.Second, "withdrawn everywhere", func() bool { return j.everyAnswer(testKey, 401) })
		is.True(j.everyAnswer(otherKey, 200))

		j.hosts.mu.Lock()
		j.hosts.list[0].State = provider.Leaving
		j.hosts.list[0].LeavesAt = time.Now().Add(20 * time.Second)
		j.hosts.mu.Unlock()
		within(t, 10*time.Second, "no new work to a leaving engine", func() bool {
			for _, g := range j.gateways {
				if usableIn(g, "e1") {
					return false
				}
			}
			return true
		})
		is.True(j.everyAnswer(otherKey, 200))

		oldest := time.Duration(0)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range j.gateways {
				g.mu.Lock()
				oldest = max(oldest, time.Since(g.confirmed))
				g.mu.Unlock()
			}
		}
		t.Logf("oldest confirmation in quiet times %v", oldest)
		is.True(oldest < 8*time.Second)
		j.cutOff(4, true)
		within(t, 14*time.Second, "a host cut off refuses", func() bool { status, _ := j.ask(4, otherKey); return status == 503 })
		j.cutOff(4, false)
		within(t, 20*time.Second, "a host joined again serves", func() bool { status, _ := j.ask(4, otherKey); return status == 200 })

		j.objects.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
		time.Sleep(10 * time.Minute)
		is.True(j.everyAnswer(otherKey, 200)) // the store is down for all

		j.cutOff(4, true)
		within(t, 14*time.Second, "a host alone refuses", func() bool { status, _ := j.ask(4, otherKey); return status == 503 })
		status, body := j.ask(4, otherKey)
		is.Equal(status, 503)
		is.Equal(failure(body).Execution, "not_run")
		status, _ = j.ask(0, otherKey)
		is.Equal(status, 200)
	})
}

// usableIn tells whether a gateway's view lets a target take new work.
func usableIn(g *Gateway, id target.ID) bool {
	p := &placement{fleet: g.fleet}
	p.choice.Target.ID = id
	return p.usable()
}
