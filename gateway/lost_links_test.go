package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/control"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/standin/service"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/reach"
	"zinniapin/target"
	"zinniapin/target/httpengine"
	"zinniapin/targetlink"
	"zinniapin/wire"
)

// tunnelling is a controller that carries tunnels.
type tunnelling struct{ links *targetlink.Links }

// Serve implements link.Handler.
func (tunnelling) Serve(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, link.ErrClosed
}

// Open implements link.StreamHandler.
func (h tunnelling) Open(ctx context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	return h.links.ServeTunnelByAnyWay(ctx, request.GetTunnelRequest())
}

// startTunnelling starts a controller that reaches the targets of a view, and returns a link to it.
func startTunnelling(t *testing.T, view []control.TargetState) link.Link {
	t.Helper()
	log := zerolog.Nop()
	fabric := memlink.NewFabric()
	links := targetlink.New(targetlink.Options{Zone: homeZone.Name, Log: &log})
	links.SetTargets(targetlink.TargetsOf(view))
	if _, _, err := fabric.Network(machine.Process{Host: "far", Role: machine.Controller, Address: "far"}).Listen("far", tunnelling{links}, func(link.Link) {}); err != nil {
		t.Fatal(err)
	}
	l, err := fabric.Network(machine.Process{Host: "h", Role: machine.Gateway}).Dial(t.Context(), "far", tunnelling{links})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newCutGateway returns a gateway with ways to two engines and two plain services, and a link to a controller that
// reaches them directly.
func newCutGateway(t *testing.T) (*testGateway, []*prepared.Way) {
	t.Helper()
	var direct, seen []control.TargetState
	var ways []*prepared.Way
	add := func(id string, kind target.Kind, pool, address string) {
		way := prepared.NewWay(address)
		t.Cleanup(way.Close)
		ways = append(ways, way)
		direct, seen = append(direct, liveTarget(id, kind, pool, address)), append(seen, liveTarget(id, kind, pool, way.Address()))
	}
	for i, id := range []string{"e1", "e2"} {
		s, err := engine.Start("127.0.0.1:0", engine.Options{ID: target.ID(id), Seed: uint64(i + 1), Models: []string{testModel}, DecodeRate: 1e6, PrefillRate: 1e7})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		add(id, target.Engine, "p", s.Address())
	}
	for _, id := range []string{"s1", "s2"} {
		s, err := service.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		add(id, target.Service, "desk", s.Address())
	}
	log := zerolog.Nop()
	up := startTunnelling(t, direct)
	var engines *httpengine.Client
	var services *HTTPServices
	links := targetlink.New(targetlink.Options{Zone: homeZone.Name, Log: &log, Link: func(string) (link.Link, error) { return up, nil },
		OnLost: func(map[string]bool, map[target.ID]bool) { engines.CloseIdle(); services.CloseIdle() }})
	links.AskHosts(func() []reach.Host { return []reach.Host{{Address: "far", Zone: string(homeZone.Name)}} })
	engines = httpengine.New(httpengine.Options{Dial: links.DialContext, OnSilent: links.CheckSilent})
	t.Cleanup(engines.Close)
	services = NewHTTPServices(links)
	tg := newTestGateway(t, engines)
	tg.server.Close()
	g, err := New(Options{Process: machine.Process{Host: "h", Role: machine.Gateway, Incarnation: 8, Zone: homeZone}, Settings: testSettings(),
		ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes), Engines: engines, Services: services, Links: links, Claims: tg.claims, Log: log, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	tg.use(t, g)
	g.Observe(seen)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go g.maintain(ctx)
	return tg, ways
}

// A gateway that has lost its links to all engines and services serves its callers through controllers that have not.
func TestGatewayWithoutLinksServesThroughControllers(t *testing.T) {
	for _, mode := range prepared.WayModes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			tg, ways := newCutGateway(t)
			serve := func(n int) (served int) {
				for i := range n {
					response, _ := tg.chat("a prompt", i%2 == 0)
					if response.StatusCode == http.StatusOK {
						served++
					}
					response, _ = tg.send("POST", "/v1/services/desk/drafts", testKey, deposit)
					if response.StatusCode == http.StatusCreated {
						served++
					}
				}
				return served
			}
			is.Equal(serve(5), 10) // leaves kept connections
			for _, w := range ways {
				w.Set(mode)
			}
			go serve(1) // may meet a silent connection, by which the gateway notices
			time.Sleep(1500 * time.Millisecond)
			is.Equal(serve(10), 20)
			for _, w := range ways {
				w.Set(prepared.WayOpen)
			}
			if mode == prepared.WayKept || mode == prepared.WayKeptHang {
				return // requests never needed another connection
			}
			before := ways[0].Accepted() + ways[1].Accepted()
			for begun := time.Now(); ways[0].Accepted()+ways[1].Accepted() <= before+1 && time.Since(begun) < 3*time.Second; {
				is.Equal(serve(1), 2)
			}
			is.True(ways[0].Accepted()+ways[1].Accepted() > before) // it uses its own links again
		})
	}
}
