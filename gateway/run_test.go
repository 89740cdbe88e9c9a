package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
)

// fakeUplink is an uplink that counts flushed usage.
type fakeUplink struct {
	flushed atomic.Int64 // requests
}

func (u *fakeUplink) Run(ctx context.Context, _ control.Gateway) error {
	<-ctx.Done()
	return ctx.Err()
}

func (u *fakeUplink) Flush(_ context.Context, g control.Gateway) error {
	for _, c := range g.Usage() {
		u.flushed.Add(int64(c.Amount.Requests))
	}
	g.UsageStored(g.Usage())
	return nil
}

// TestShutdownUnderLoad checks that a graceful shutdown cuts off no request while a load
// balancer sends requests for as long as the gateway is ready.
func TestShutdownUnderLoad(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1", "e2")
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	uplink := &fakeUplink{}
	tg.g.options.Uplink = uplink
	tg.g.options.Settings.DrainDelayMillis = 300
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tg.g.Run(graceful, context.Background(), listener) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var callers sync.WaitGroup
	var whole, failed atomic.Int64
	for range 16 {
		callers.Go(func() {
			for tg.g.Ready() == nil {
				if sendCompleteChat(client, "http://"+listener.Addr().String()) {
					whole.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	eventually(t, func() bool { return whole.Load() > 200 })
	stop()
	callers.Wait()
	is.NoErr(<-ended)
	is.Equal(failed.Load(), int64(0))
	is.Equal(uplink.flushed.Load(), whole.Load())
	client.CloseIdleConnections()
}

// sendCompleteChat sends a chat request and tells whether the answer is complete.
func sendCompleteChat(client *http.Client, address string) bool {
	request, err := http.NewRequest("POST", address+"/v1/chat/completions", strings.NewReader(chatRequest("load", true)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.HasSuffix(string(body), "data: [DONE]\n\n")
}

// TestImmediateShutdownLogsCutRequests checks that an immediate shutdown logs the number of
// requests that it cuts off.
func TestImmediateShutdownLogsCutRequests(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 4, 4), nil, nil
	}}
	tg := newTestGateway(t, s, "e1")
	var log lockedBuffer
	tg.g.log = tg.g.log.Output(&log).Level(0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	graceful, first := context.WithCancel(context.Background())
	immediate, second := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tg.g.Run(graceful, immediate, listener) }()
	go sendCompleteChat(http.DefaultClient, "http://"+listener.Addr().String())
	eventually(t, func() bool { return s.count() == 1 })
	first()
	second()
	is.True(<-ended != nil)
	is.True(strings.Contains(log.String(), `"name":"shutdown_cut_request","requests":1`))
}

// lockedBuffer is a buffer for log lines that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestUnconfirmedGatewayStopsServing checks, in virtual time, when a gateway that cannot
// confirm its configuration stops serving.
func TestUnconfirmedGatewayStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, err := New(Options{Settings: testSettings(), ResumeKey: make([]byte, MinResumeKeyBytes)})
		is.NoErr(err)
		is.True(g.Ready() != nil) // no configuration
		g.Configure(newSnapshot(3, nil))
		g.Configure(newSnapshot(2, nil))
		is.Equal(g.snapshot.Load().Revision, contract.Revision(3))
		is.True(g.Ready() != nil) // and no number of live gateways
		g.SetConnectivity(control.Connectivity{Controllers: 2, LiveGateways: 3})
		is.True(g.Ready() != nil) // and no view of targets
		g.Observe(nil)
		is.True(g.Ready() != nil) // and no confirmation of the configuration
		g.SetConnectivity(control.Connectivity{Controllers: 2, LiveGateways: 3, ConfirmedAt: time.Now()})
		is.NoErr(g.Ready())
		for range 60 {
			g.SetConnectivity(control.Connectivity{Controllers: 1, StoreDownForMost: true})
			time.Sleep(time.Minute)
			is.NoErr(g.Ready()) // most members cannot reach the store
		}
		g.SetConnectivity(control.Connectivity{Controllers: 1})
		time.Sleep(11 * time.Minute)
		g.SetConnectivity(control.Connectivity{Controllers: 1})
		is.True(g.Ready() != nil) // its controller may be cut off with it
		g.SetConnectivity(control.Connectivity{Controllers: 1, ConfirmedAt: time.Now()})
		is.NoErr(g.Ready())
		time.Sleep(11 * time.Minute)
		g.SetConnectivity(control.Connectivity{Controllers: 1, StoreDownForMost: true, StoreDownAge: 11 * time.Minute})
		is.True(g.Ready() != nil) // the information is from before a partition
		g.SetConnectivity(control.Connectivity{Controllers: 1, StoreDownForMost: true, StoreDownAge: 11 * time.Minute, ConfirmedAt: time.Now()})
		is.NoErr(g.Ready()) // a confirmation by the store overrides it
		g.SetConnectivity(control.Connectivity{})
		time.Sleep(59 * time.Second)
		is.NoErr(g.Ready())
		g.SetConnectivity(control.Connectivity{}) // a repeated call does not restart the time limit
		time.Sleep(2 * time.Second)
		is.True(g.Ready() != nil)
		g.SetConnectivity(control.Connectivity{Controllers: 1, ConfirmedAt: time.Now()})
		is.NoErr(g.Ready())
	})
}
