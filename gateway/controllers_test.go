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
	"zinniapin/poison"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/uplink"
)

// hostList is a provider's list of hosts that tests modify.
type hostList struct {
	mu   sync.Mutex
	list []provider.Host
}

func (h *hostList) List(context.Context) ([]provider.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]provider.Host(nil), h.list...), nil
}

// testFleet is a set of hosts in virtual time, each with a gateway and a controller that
// communicate over an in-memory network.
type testFleet struct {
	objects  *objects.Store
	engines  *engine.Direct
	network  *memlink.Fabric
	hosts    *hostList
	gateways []*Gateway
	// engineList holds the engines, which crash only if a test makes them.
	engineList []*engine.Engine
}

// hostName returns the id of host i.
func hostName(i int) machine.HostID { return machine.HostID(fmt.Sprintf("host-%d", i)) }

// newTestFleet starts n hosts with two engines and accepts a first configuration.
func newTestFleet(t *testing.T, n int) *testFleet {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	t.Cleanup(func() { cancel(); loops.Wait() })
	f := &testFleet{objects: objects.New(), engines: engine.NewDirect(), network: memlink.NewFabric(), hosts: &hostList{}}
	for i, name := range []string{"e1", "e2"} {
		e := f.engines.Add(name, engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}})
		f.engineList = append(f.engineList, e)
		x := target.Target{ID: target.ID(name), Kind: target.Engine, Class: target.Reserved, Pool: "p", Zone: homeZone.Name, Address: name}
		f.hosts.list = append(f.hosts.list, provider.Host{ID: "h-" + name, State: provider.Live, Zone: homeZone.Name, Target: &x})
	}
	log := zerolog.Nop()
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }
	for i := range n {
		self := machine.Process{Host: hostName(i), Role: machine.Controller, Incarnation: uint64(i + 1), Zone: homeZone, Address: address(i)}
		c := controller.New(controller.Config{Self: self, Seeds: []string{address(0), address(1)}, Network: f.network.Network(self),
			Store: f.objects, Hosts: f.hosts, Orders: f.engines, Seed: 1, Log: &log})
		loops.Go(func() { _ = c.Run(ctx) })
		self = machine.Process{Host: hostName(i), Role: machine.Gateway, Incarnation: uint64(100 + i), Zone: homeZone}
		u := uplink.New(uplink.Config{Self: self, LocalController: address(i), Seeds: []string{address((i + 1) % n)}, Network: f.network.Network(self), Log: &log})
		s := testSettings()
		s.ControllerLossMillis, s.MaxConfirmationAgeMillis = 5000, 12_000
		g, err := New(Options{Process: self, Settings: s, ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes),
			Engines: f.engines, Refuses: f.engines.Refuses, Claims: claim.NewStoreRegistry(f.objects, claim.Options{}), Uplink: u, Log: log, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		loops.Go(func() { _ = u.Run(ctx, g) })
		loops.Go(func() { g.maintain(ctx) })
	}
	f.acceptConfiguration(t, 0, nil)
	return f
}

// acceptConfiguration accepts the configuration of newSnapshot, modified by change.
func (f *testFleet) acceptConfiguration(t *testing.T, base contract.Revision, change func(kalnins, sonar *contract.Contract)) {
	s := newSnapshot(base+1, change)
	p := configuration.Proposal{ID: fmt.Sprint("change-", base), Base: base, Fleet: &s.Fleet}
	for _, c := range s.Contracts {
		p.Contracts = append(p.Contracts, c)
	}
	if _, err := configuration.Accept(context.Background(), f.objects, p, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// setIsolated cuts or restores all links of a host's processes, including those between
// them.
func (f *testFleet) setIsolated(host int, cut bool) {
	for i := range f.gateways {
		f.network.SetCut(hostName(host), hostName(i), cut)
	}
}

// sendChat sends a chat request to a gateway and returns the status and body of the
// response.
func (f *testFleet) sendChat(i int, key string) (int, string) {
	return f.sendPrompt(i, key, "joined")
}

// sendPrompt is sendChat with a prompt.
func (f *testFleet) sendPrompt(i int, key, prompt string) (int, string) {
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatRequest(prompt, false)))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	f.gateways[i].ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// waitWithin polls a condition in virtual time and fails the test if it is not met in time.
func waitWithin(t *testing.T, d time.Duration, what string, ok func() bool) {
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

// allAnswer tells whether every gateway responds with the status to a request with the key.
func (f *testFleet) allAnswer(key string, status int) bool {
	for i := range f.gateways {
		if got, _ := f.sendChat(i, key); got != status {
			return false
		}
	}
	return true
}

// TestGatewaysWithControllers runs five gateways together with their controllers, over
// in-memory links, through a first configuration, the withdrawal of a key, the departure of
// an engine, an outage of the object store and the isolation of a host.
func TestGatewaysWithControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t, 5)
		waitWithin(t, 14*time.Second, "served everywhere", func() bool { return f.allAnswer(testKey, 200) && f.allAnswer(otherKey, 200) })
		want, _ := engineText("joined")
		_, body := f.sendChat(3, testKey)
		is.True(strings.Contains(body, want))

		f.acceptConfiguration(t, 1, func(kalnins, _ *contract.Contract) { kalnins.Keys[0].Withdrawn = true })
		waitWithin(t, 14*time.Second, "withdrawn everywhere", func() bool { return f.allAnswer(testKey, 401) })
		is.True(f.allAnswer(otherKey, 200))

		f.hosts.mu.Lock()
		f.hosts.list[0].State = provider.Leaving
		f.hosts.list[0].LeavesAt = time.Now().Add(20 * time.Second)
		f.hosts.mu.Unlock()
		waitWithin(t, 10*time.Second, "no new work to a leaving engine", func() bool {
			for _, g := range f.gateways {
				if acceptsNewWork(g, "e1") {
					return false
				}
			}
			return true
		})
		is.True(f.allAnswer(otherKey, 200))

		oldest := time.Duration(0)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range f.gateways {
				g.mu.Lock()
				oldest = max(oldest, time.Since(g.confirmedAt))
				g.mu.Unlock()
			}
		}
		t.Logf("oldest confirmation without faults: %v", oldest)
		is.True(oldest < 8*time.Second)
		f.setIsolated(4, true)
		waitWithin(t, 14*time.Second, "a host cut off refuses", func() bool { status, _ := f.sendChat(4, otherKey); return status == 503 })
		f.setIsolated(4, false)
		waitWithin(t, 20*time.Second, "a host whose links are restored serves", func() bool { status, _ := f.sendChat(4, otherKey); return status == 200 })

		f.objects.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
		time.Sleep(10 * time.Minute)
		is.True(f.allAnswer(otherKey, 200)) // no process reaches the object store

		f.setIsolated(4, true)
		waitWithin(t, 14*time.Second, "a host cut off during the outage refuses", func() bool { status, _ := f.sendChat(4, otherKey); return status == 503 })
		status, body := f.sendChat(4, otherKey)
		is.Equal(status, 503)
		is.Equal(errorOf(body).Execution, "not_run")
		status, _ = f.sendChat(0, otherKey)
		is.Equal(status, 200)
	})
}

// acceptsNewWork tells whether a gateway's view allows new work on a target.
func acceptsNewWork(g *Gateway, id target.ID) bool {
	p := &placement{fleet: g.fleet}
	p.choice.Target.ID = id
	return p.usable()
}

// TestCrashingRequestIsRejectedAtAllGateways checks that gateways learn from each other, over their
// controllers, which request crashes engines, also one that was cut off meanwhile.
func TestCrashingRequestIsRejectedAtAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t, 5)
		waitWithin(t, 14*time.Second, "served everywhere", func() bool { return f.allAnswer(otherKey, 200) })
		for _, e := range f.engineList {
			e.SetFaults(engine.Faults{CrashOn: "fatal", RestartMillis: 500})
		}
		f.setIsolated(4, true)
		for i := range 2 { // two engines crash under the first, one under the second
			status, body := f.sendPrompt(i, testKey, "fatal")
			is.Equal(status, 502)
			is.True(errorOf(body).Code != "request_blocked")
			time.Sleep(8 * time.Second)
		}
		rejects := func(i int) bool {
			_, body := f.sendPrompt(i, testKey, "fatal")
			return errorOf(body).Code == "request_blocked" && errorOf(body).Execution == "not_run"
		}
		for i := range 4 {
			is.True(rejects(i))
		}
		time.Sleep(time.Minute)
		f.setIsolated(4, false)
		waitWithin(t, time.Minute, "rejected by a host that was cut off", func() bool {
			part := poison.PartOfRequest("kalnins", "POST", testModel, []byte("user 5\nfatal\nassistant\n"))
			_, rejected := f.gateways[4].crashes.rejects(newRequestPart(0, func() poison.Part { return part }))
			return rejected
		})
		waitWithin(t, 20*time.Second, "that host serves again", func() bool { return f.allAnswer(otherKey, 200) })
		is.True(rejects(4))
		sent := 0
		for _, e := range f.engineList {
			sent += len(e.Records().Requests)
			for _, r := range e.Records().Requests {
				if !strings.Contains(r.Prompt, "fatal") {
					sent--
				}
			}
		}
		is.Equal(sent, 3)
	})
}
