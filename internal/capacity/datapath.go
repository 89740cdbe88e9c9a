package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/gateway"
	"zinniapin/settings"
	"zinniapin/target/httpengine"
)

var (
	// answerSizes are the numbers of tokens in an answer.
	answerSizes = []int{1, 64, 256, 512}
	// streamSizes are the numbers of answers under way at once.
	streamSizes = []int{50, 100, 200}
)

const (
	// pathRequests is the number of requests that an average is taken over.
	pathRequests = 600
	// pathCallers is the number of concurrent callers.
	pathCallers = 8
	// promptBytes is the size of a prompt in bytes.
	promptBytes = 3_000
	// callerKey is the API key of the callers.
	callerKey = "key-a-0"
)

// dataPath is a gateway in front of a trivial engine. Callers, gateway and
// engine use HTTP on loopback.
type dataPath struct {
	engine  *httptest.Server
	gateway *httptest.Server
	client  *http.Client
	tokens  int           // in each answer
	gate    chan struct{} // if not nil, the engine waits half-way through an answer until it is closed
}

// newDataPath starts the engine and the gateway.
func newDataPath() (*dataPath, error) {
	p := &dataPath{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	p.engine = httptest.NewServer(http.HandlerFunc(p.serveEngine))
	g, err := gateway.New(gateway.Options{
		Process: gatewayOf(0, 1),
		Settings: settings.Gateway{ControllerLossMillis: 600_000, MaxConfirmationAgeMillis: 600_000, FirstTokenMillis: 60_000, FirstChunkMillis: 60_000,
			StallMillis: 60_000, QueueLength: 4_096, ResumeMillis: 600_000},
		ResumeKey: bytes.Repeat([]byte("k"), gateway.MinResumeKeyBytes),
		Engines:   httpengine.New(httpengine.Options{IdleConns: 512}),
		Log:       zerolog.New(io.Discard).With().Timestamp().Logger(),
		Seed:      1,
	})
	if err != nil {
		return nil, err
	}
	k := contractOf(0)
	k.Limits = contract.Limits{RequestsPerSecond: 1e6, Concurrency: 100_000}
	g.Configure(contract.NewSnapshot(1, fleetDescription(), []*contract.Contract{k}))
	g.SetConnectivity(control.Connectivity{Controllers: 1, LiveGateways: 1, ConfirmedAt: time.Now()})
	state := stateOf(0)
	state.Target.Address = p.engine.Listener.Addr().String()
	state.Report.Capacity = 4_096
	g.Observe([]control.TargetState{state})
	p.gateway = httptest.NewServer(g)
	return p, nil
}

// close stops both servers.
func (p *dataPath) close() {
	p.gateway.Close()
	p.engine.Close()
}

// serveEngine is the engine's HTTP handler. It writes and flushes one line for
// each token.
func (p *dataPath) serveEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	from := bytes.Index(body, []byte(`"attempt":"`)) + len(`"attempt":"`)
	attempt := body[from : from+bytes.IndexByte(body[from:], '"')]
	flusher := http.NewResponseController(w)
	for i := range p.tokens {
		if p.gate != nil && i == p.tokens/2 {
			<-p.gate
		}
		end := ""
		if i == p.tokens-1 {
			end = fmt.Sprintf(`,"done":true,"finish":"stop","prompt_tokens":800,"output_tokens":%d`, p.tokens)
		}
		_, _ = fmt.Fprintf(w, `{"attempt":"%s","offset":%d,"tokens":1,"text":"word "%s}`+"\n", attempt, i, end)
		_ = flusher.Flush()
	}
}

// callEngine sends a request to the engine without the gateway.
func (p *dataPath) callEngine() error {
	body := `{"attempt":"x","model":"` + modelName(0) + `","prompt":"` + strings.Repeat("a", promptBytes) + `"}`
	return p.post(p.engine.URL+httpengine.GeneratePath, body)
}

// callGateway sends a request through the gateway.
func (p *dataPath) callGateway() error {
	body := `{"model":"` + modelName(0) + `","stream":true,"max_tokens":1024,"messages":[{"role":"user","content":"` + strings.Repeat("a", promptBytes) + `"}]}`
	return p.post(p.gateway.URL+"/v1/chat/completions", body)
}

// post sends a body and reads the whole answer.
func (p *dataPath) post(url, body string) error {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return err
}

// processorPerCall returns the processor time in microseconds of one call, as a
// mean over pathRequests calls.
func (p *dataPath) processorPerCall(call func() error) (float64, error) {
	work := make(chan struct{})
	failures := make(chan error, pathRequests)
	var group sync.WaitGroup
	before := processorTime()
	for range pathCallers {
		group.Go(func() {
			for range work {
				if err := call(); err != nil {
					failures <- err
				}
			}
		})
	}
	for range pathRequests {
		work <- struct{}{}
	}
	close(work)
	group.Wait()
	spent := processorTime() - before
	select {
	case err := <-failures:
		return 0, err
	default:
		return float64(spent.Microseconds()) / pathRequests, nil
	}
}

// measureDataPath measures a gateway's processor time and memory as the
// difference between calls through it and calls of the engine itself.
func measureDataPath(r *report) error {
	p, err := newDataPath()
	if err != nil {
		return err
	}
	defer p.close()
	var spent []point
	for _, n := range answerSizes {
		p.tokens = n
		direct, err := p.processorPerCall(p.callEngine)
		if err != nil {
			return err
		}
		through, err := p.processorPerCall(p.callGateway)
		if err != nil {
			return err
		}
		spent = append(spent, point{float64(n), through - direct})
	}
	r.slope("gateway: processor time of a streamed request", "us", "token", spent)
	return p.measureStreams(r)
}

// measureStreams measures the gateway's memory for answers under way, as the
// difference between calls through it and calls of the engine itself.
func (p *dataPath) measureStreams(r *report) error {
	p.tokens = 256
	var heap, stack []point
	for _, n := range streamSizes {
		direct, directStack, err := p.memoryOf(n, p.callEngine)
		if err != nil {
			return err
		}
		through, throughStack, err := p.memoryOf(n, p.callGateway)
		if err != nil {
			return err
		}
		heap = append(heap, point{float64(n), (through - direct) / 1e3})
		stack = append(stack, point{float64(n), (throughStack - directStack) / 1e3})
	}
	r.slope("gateway: heap of an answer under way", "kB", "answer", heap)
	r.slope("gateway: stacks of an answer under way", "kB", "answer", stack)
	return nil
}

// memoryOf returns the bytes of heap and of stacks that n calls occupy while
// each is half-way through its answer.
func (p *dataPath) memoryOf(n int, call func() error) (heap, stack float64, err error) {
	p.client.CloseIdleConnections()
	time.Sleep(100 * time.Millisecond)
	p.gate = make(chan struct{})
	heap, stack = -heapBytes(), -stackBytes()
	failures := make(chan error, n)
	for range n {
		go func() { failures <- call() }()
	}
	time.Sleep(time.Second)
	heap += heapBytes()
	stack += stackBytes()
	close(p.gate)
	for range n {
		if failed := <-failures; failed != nil {
			err = failed
		}
	}
	runtime.GC()
	return heap, stack, err
}
